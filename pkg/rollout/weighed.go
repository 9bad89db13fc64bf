package rollout

import (
	"math"
	"time"

	"github.com/azuretiller/azuretiller"
)

const (
	// lowGrayShare and highGrayShare are the shares of gray servers that are considered. The higher one is the largest that occurs.
	lowGrayShare  = 0.1
	highGrayShare = 0.3
	// minHighWeight is the least weight of highGrayShare before the responses of target servers. The scheduler avoids gray old servers, so
	// that the old servers do not show how many target servers are gray.
	minHighWeight = 0.5
)

// weighedEvidence combines the evidence under several shares of gray servers, weighed by how well each describes the old servers.
type weighedEvidence struct {
	shares []*shareEvidence
}

type shareEvidence struct {
	*evidence
	// old are the states of the old servers, and logOld the log likelihood of their responses.
	old    map[azuretiller.InstanceID]*serverEvidence
	logOld float64
}

func newWeighedEvidence(now time.Time, priorLogOdds float64) *weighedEvidence {
	w := &weighedEvidence{}
	for _, share := range []float64{lowGrayShare, highGrayShare} {
		w.shares = append(w.shares, &shareEvidence{
			evidence: newEvidence(now, priorLogOdds, states(share)), old: map[azuretiller.InstanceID]*serverEvidence{},
		})
	}
	return w
}

func (w *weighedEvidence) advance(now time.Time) {
	for _, s := range w.shares {
		s.advance(now)
	}
}

// observe takes an attempt on a target server into account.
func (w *weighedEvidence) observe(server azuretiller.InstanceID, a attempt, normal *routeReference) {
	for _, s := range w.shares {
		s.observe(server, a, normal)
	}
}

// observeOld takes an attempt on an old server into account, which tells how many servers are gray.
func (w *weighedEvidence) observeOld(now time.Time, server azuretiller.InstanceID, failed bool) {
	for _, s := range w.shares {
		old := s.old[server]
		if old == nil {
			old = s.newServer(now)
			s.old[server] = old
		}
		decay := old.elapse(now)
		var likelihoods stateVector
		for i, state := range s.states {
			likelihoods[i] = (1 - priorFailureRate) * (1 - state.failureRate)
			if failed {
				likelihoods[i] = 1 - likelihoods[i]
			}
		}
		s.logOld += math.Log(old.good.update(decay, &s.states, &likelihoods))
	}
}

// logOdds returns the logarithm of the odds that the version is bad, if good and bad versions are equally frequent.
func (w *weighedEvidence) logOdds() float64 {
	low, high := w.shares[0], w.shares[1]
	highWeight := max(minHighWeight, 1/(1+math.Exp(low.logOld-high.logOld)))
	bad, good := math.Inf(-1), math.Inf(-1)
	for i, weight := range []float64{1 - highWeight, highWeight} {
		s := w.shares[i]
		likelihood := math.Log(weight) + s.logGood
		good = logSum(good, likelihood)
		bad = logSum(bad, likelihood+s.logOdds())
	}
	return bad - good
}

// logSum returns the logarithm of the sum of two numbers given by their logarithms.
func logSum(a, b float64) float64 {
	if a < b {
		a, b = b, a
	}
	if math.IsInf(a, -1) {
		return a
	}
	return a + math.Log1p(math.Exp(b-a))
}

// clone returns a copy whose evidence on target servers changes independently.
func (w *weighedEvidence) clone() *weighedEvidence {
	c := &weighedEvidence{}
	for _, s := range w.shares {
		copied := *s
		copied.evidence = s.clone()
		c.shares = append(c.shares, &copied)
	}
	return c
}

// removeOld forgets old servers that no longer exist.
func (w *weighedEvidence) removeOld(exists map[azuretiller.InstanceID]bool) {
	for _, s := range w.shares {
		for id := range s.old {
			if !exists[id] {
				delete(s.old, id)
			}
		}
	}
}

// responses and servers return the numbers of responses and of servers that were taken into account.
func (w *weighedEvidence) responses() int { return w.shares[0].responses }
func (w *weighedEvidence) servers() int   { return len(w.shares[0].servers) }

// sufficient reports whether there are enough responses for a good verdict, and enough servers in proportion to all of them.
func (w *weighedEvidence) sufficient(servers int) bool {
	return w.responses() >= minResponses && w.servers() >= min(minServers, servers)
}
