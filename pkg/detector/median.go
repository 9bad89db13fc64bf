package detector

import (
	"math"
	"time"
)

// median estimates the median of a stream of latencies. Each latency moves the estimate up or down by one step on a
// logarithmic scale.
type median struct {
	logValue float64
	count    int
}

// The step of the median estimate shrinks with the number of latencies, from initialStep to minStep; both are in units of the
// natural logarithm.
const (
	minStep     = 0.02
	initialStep = 0.5
)

func (m *median) add(latency time.Duration) {
	logLatency := math.Log(float64(max(latency, time.Microsecond)))
	m.count++
	if m.count == 1 {
		m.logValue = logLatency
		return
	}
	step := max(minStep, initialStep/float64(m.count))
	if logLatency > m.logValue {
		m.logValue += step
	} else {
		m.logValue -= step
	}
}

func (m *median) value() time.Duration {
	return time.Duration(math.Exp(m.logValue))
}
