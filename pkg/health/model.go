package health

import (
	"math"
	"time"
)

const (
	// healthyFailureRate is the share of requests that fail on a healthy server.
	healthyFailureRate = 0.015
	// evidenceDecay scales the log weights of the hypotheses at each new result, so that the model adapts to changes within
	// a few hundred results.
	evidenceDecay = 0.997
	// cacheTTL is how long a computed probability is reused. The estimates change over seconds, so the error is small.
	cacheTTL = 20 * time.Millisecond
	// rateCount is the number of transition rates among the hypotheses.
	rateCount = 4
	// minWeight is the smallest weight of a hypothesis relative to the largest one, so that new evidence can still raise it.
	minWeight = 1e-6
)

// hypothesis is one set of parameters for how servers of a service turn gray and recover.
type hypothesis struct {
	// grayShare is the share of time that a server is gray.
	grayShare float64
	// rateIndex is the index of the transition rate in transitionRates.
	rateIndex int
	// grayFailureRate is the share of requests that fail on a gray server.
	grayFailureRate float64
}

// transitionRates returns the hypothetical transition rates in 1/s. Each is the rate of turning gray plus the rate of
// recovering, which is the rate at which old results lose their evidence about a server's state.
func transitionRates() [rateCount]float64 { return [rateCount]float64{0.1, 0.25, 0.6, 1.5} }

// Model learns how the servers of one service turn gray and recover. It weighs several hypotheses by how well each one
// predicted the results so far.
type Model struct {
	hypotheses []hypothesis
	// logWeights are the natural logarithms of weights.
	logWeights []float64
	weights    []float64
}

// NewModel returns a model in which all hypotheses have the same weight.
func NewModel() *Model {
	m := &Model{}
	for _, grayShare := range []float64{0.02, 0.08, 0.18, 0.3, 0.45} {
		for rateIndex := range rateCount {
			for _, grayFailureRate := range []float64{0.4, 0.75, 0.97} {
				m.hypotheses = append(m.hypotheses, hypothesis{grayShare: grayShare, rateIndex: rateIndex, grayFailureRate: grayFailureRate})
			}
		}
	}
	m.logWeights = make([]float64, len(m.hypotheses))
	m.weights = make([]float64, len(m.hypotheses))
	m.normalise()
	return m
}

func (m *Model) normalise() {
	maxLog := math.Inf(-1)
	for _, w := range m.logWeights {
		maxLog = max(maxLog, w)
	}
	sum := 0.0
	for i, w := range m.logWeights {
		m.weights[i] = max(math.Exp(w-maxLog), minWeight)
		sum += m.weights[i]
	}
	for i := range m.weights {
		m.weights[i] /= sum
		m.logWeights[i] = math.Log(m.weights[i])
	}
}

// Estimate is the state estimate of one server.
type Estimate struct {
	model *Model
	// grayProbability is the probability under each hypothesis that the server is gray.
	grayProbability []float64
	updatedAt       time.Time
	// cached is the success probability computed at cachedAt. A new result of the server resets cachedAt to zero.
	cached   float64
	cachedAt time.Time
}

// NewEstimate returns the estimate for a server without results.
func (m *Model) NewEstimate(now time.Time) *Estimate {
	e := &Estimate{model: m, grayProbability: make([]float64, len(m.hypotheses)), updatedAt: now}
	for i, h := range m.hypotheses {
		e.grayProbability[i] = h.grayShare
	}
	return e
}

// advance moves the estimate to a later time. Without new results the probability that the server is gray converges to
// the long-term share of the hypothesis.
func (e *Estimate) advance(now time.Time) {
	elapsedSeconds := now.Sub(e.updatedAt).Seconds()
	if elapsedSeconds <= 0 {
		return
	}
	e.updatedAt = now
	decay := transitionRates()
	for i, rate := range decay {
		decay[i] = math.Exp(-rate * elapsedSeconds)
	}
	for i, h := range e.model.hypotheses {
		e.grayProbability[i] = h.grayShare + (e.grayProbability[i]-h.grayShare)*decay[h.rateIndex]
	}
}

// SuccessProbability returns the probability that a request sent now succeeds.
func (e *Estimate) SuccessProbability(now time.Time) float64 {
	if !e.cachedAt.IsZero() && now.Sub(e.cachedAt) < cacheTTL {
		return e.cached
	}
	e.advance(now)
	e.cached = 0
	for i, h := range e.model.hypotheses {
		e.cached += e.model.weights[i] * (1 - e.failureProbability(i, h))
	}
	e.cachedAt = now
	return e.cached
}

func (e *Estimate) failureProbability(i int, h hypothesis) float64 {
	return e.grayProbability[i]*h.grayFailureRate + (1-e.grayProbability[i])*healthyFailureRate
}

// Observe updates the estimate and the model with the result of a request. A weight below 1 reduces the effect of weak
// evidence, such as a failed connection, which the network path may have caused.
func (e *Estimate) Observe(now time.Time, failed bool, weight float64) {
	e.advance(now)
	e.cachedAt = time.Time{}
	m := e.model
	for i, h := range m.hypotheses {
		failureProbability := e.failureProbability(i, h)
		likelihood := 1 - failureProbability
		grayLikelihood, healthyLikelihood := 1-h.grayFailureRate, 1-healthyFailureRate
		if failed {
			likelihood = failureProbability
			grayLikelihood, healthyLikelihood = h.grayFailureRate, healthyFailureRate
		}
		m.logWeights[i] = evidenceDecay*m.logWeights[i] + weight*math.Log(likelihood)
		grayLikelihood, healthyLikelihood = math.Pow(grayLikelihood, weight)*e.grayProbability[i], math.Pow(healthyLikelihood, weight)*(1-e.grayProbability[i])
		e.grayProbability[i] = grayLikelihood / (grayLikelihood + healthyLikelihood)
	}
	m.normalise()
}
