package detector

import (
	"math"
	"time"
)

// median follows the median of a stream of latencies in steps on a logarithmic scale.
type median struct {
	log   float64
	count int
}

const (
	smallestStep = 0.02
	firstStep    = 0.5
)

func (m *median) add(latency time.Duration) {
	x := math.Log(float64(max(latency, time.Microsecond)))
	m.count++
	if m.count == 1 {
		m.log = x
		return
	}
	step := max(smallestStep, firstStep/float64(m.count))
	if x > m.log {
		m.log += step
	} else {
		m.log -= step
	}
}

func (m *median) value() time.Duration {
	return time.Duration(math.Exp(m.log))
}
