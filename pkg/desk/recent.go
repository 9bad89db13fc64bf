package desk

import "time"

// recent counts the outcomes within the last coverageWindow.
type recent struct {
	outcomes []outcome
}

type outcome struct {
	at     time.Time
	served bool
}

func (r *recent) add(now time.Time, served bool) {
	r.outcomes = append(r.outcomes, outcome{at: now, served: served})
	r.forget(now)
}

func (r *recent) forget(now time.Time) {
	n := 0
	for n < len(r.outcomes) && now.Sub(r.outcomes[n].at) > coverageWindow {
		n++
	}
	r.outcomes = r.outcomes[n:]
}

// lost returns the number and the share of requests that were not served, and the number of all.
func (r *recent) lost(now time.Time) (int, float64, int) {
	r.forget(now)
	if len(r.outcomes) == 0 {
		return 0, 0, 0
	}
	lost := 0
	for _, o := range r.outcomes {
		if !o.served {
			lost++
		}
	}
	return lost, float64(lost) / float64(len(r.outcomes)), len(r.outcomes)
}

// starts are the times of events within the last coverageWindow.
type starts struct {
	times []time.Time
}

func (s *starts) add(now time.Time) {
	s.within(now)
	s.times = append(s.times, now)
}

func (s *starts) within(now time.Time) int {
	n := 0
	for n < len(s.times) && now.Sub(s.times[n]) > coverageWindow {
		n++
	}
	s.times = s.times[n:]
	return len(s.times)
}
