package scheduler

import "time"

// outcomeWindow holds the outcomes of requests within the last coverageWindow.
type outcomeWindow struct {
	outcomes []outcome
}

type outcome struct {
	at     time.Time
	served bool
}

func (w *outcomeWindow) add(now time.Time, served bool) {
	w.outcomes = append(w.outcomes, outcome{at: now, served: served})
	w.expire(now)
}

func (w *outcomeWindow) expire(now time.Time) {
	n := 0
	for n < len(w.outcomes) && now.Sub(w.outcomes[n].at) > coverageWindow {
		n++
	}
	w.outcomes = w.outcomes[n:]
}

// losses returns the number and the share of requests that were not served, and the number of all requests.
func (w *outcomeWindow) losses(now time.Time) (int, float64, int) {
	w.expire(now)
	if len(w.outcomes) == 0 {
		return 0, 0, 0
	}
	lost := 0
	for _, o := range w.outcomes {
		if !o.served {
			lost++
		}
	}
	return lost, float64(lost) / float64(len(w.outcomes)), len(w.outcomes)
}

// eventWindow holds the times of events within the last coverageWindow.
type eventWindow struct {
	times []time.Time
}

func (w *eventWindow) add(now time.Time) {
	w.count(now)
	w.times = append(w.times, now)
}

func (w *eventWindow) count(now time.Time) int {
	n := 0
	for n < len(w.times) && now.Sub(w.times[n]) > coverageWindow {
		n++
	}
	w.times = w.times[n:]
	return len(w.times)
}
