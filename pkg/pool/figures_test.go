package pool_test

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"
)

// figuresVariable is the environment variable that asks for the measurements.
const figuresVariable = "FIGURES"

func needFigures(t *testing.T) {
	t.Helper()
	if os.Getenv(figuresVariable) == "" {
		t.Skip("set FIGURES=1 to measure")
	}
}

// figure prints one measured value beside its target and its baseline.
func figure(name, value, target, baseline string) {
	fmt.Printf("FIGURE | %s | %s | %s | %s |\n", name, value, target, baseline)
}

func percentile(values []time.Duration, p float64) time.Duration {
	slices.Sort(values)
	if len(values) == 0 {
		return 0
	}
	return values[min(int(float64(len(values))*p), len(values)-1)]
}

// detectionTimes measures how long a server with a fault stays in service.
func detectionTimes(seeds int, servers int, perServer float64, once float64, fault func(*fakeServer)) (times []time.Duration, missed int) {
	const horizon = 30 * time.Second
	for seed := range seeds {
		s := newSim(uint64(seed), servers)
		s.arrivals(perServer*float64(servers), s.Now().Add(time.Hour), s.lookups(8, once, 0.5))
		s.Run(60 * time.Second)
		bad := s.servers["s0:80"]
		fault(bad)
		start := s.Now()
		s.Run(horizon)
		if at, ok := s.ejectedAt[bad.id]; ok && at.After(start) {
			times = append(times, at.Sub(start))
		} else {
			times = append(times, horizon)
			missed++
		}
	}
	return times, missed
}

func TestFigureDetection(t *testing.T) {
	needFigures(t)
	tests := []struct {
		desc      string
		servers   int
		perServer float64
		target    string
		fault     func(*fakeServer)
	}{
		{"half of the work fails, 10/s a server, 3 servers", 3, 10, "1s", func(s *fakeServer) { s.fail = 0.5 }},
		{"half of the work fails, 2/s a server, 3 servers", 3, 2, "4s", func(s *fakeServer) { s.fail = 0.5 }},
		{"half of the work fails, 10/s a server, 10 servers", 10, 10, "1s", func(s *fakeServer) { s.fail = 0.5 }},
		{"half of the work fails, 2/s a server, 10 servers", 10, 2, "4s", func(s *fakeServer) { s.fail = 0.5 }},
		{"all of the work fails, 10/s a server, 3 servers", 3, 10, "1s", func(s *fakeServer) { s.fail = 1 }},
		{"30% of the work fails, 10/s a server, 3 servers", 3, 10, "-", func(s *fakeServer) { s.fail = 0.3 }},
		{"10% of the work fails, 10/s a server, 3 servers", 3, 10, "-", func(s *fakeServer) { s.fail = 0.1 }},
		{"ten times slower, 10/s a server, 3 servers", 3, 10, "-", func(s *fakeServer) { s.slow = 10 }},
	}
	for _, tc := range tests {
		times, missed := detectionTimes(200, tc.servers, tc.perServer, 0.2, tc.fault)
		figure("ejected: "+tc.desc,
			fmt.Sprintf("p50 %s p99 %s, missed %d of %d", percentile(times, 0.5).Round(time.Millisecond), percentile(times, 0.99).Round(time.Millisecond), missed, len(times)),
			tc.target, "-")
	}
}

func TestFigureFalseEjections(t *testing.T) {
	needFigures(t)
	const requests = 10_000_000
	sent, ejections := 0, 0
	for seed := uint64(0); sent < requests; seed++ {
		s := newSim(1000+seed, 3)
		for _, server := range s.servers {
			server.fail = 0.005
		}
		lookup := s.lookups(8, 0.2, 1)
		s.arrivals(120, s.Now().Add(time.Hour), func() *order {
			o := lookup()
			o.broken = o.team == teamName(0)
			return o
		})
		s.Run(time.Hour)
		sent += s.sent
		ejections += s.ejections
	}
	figure("false ejections, heavy tail, 0.5% errors, one bad team", fmt.Sprintf("%d in %d requests", ejections, sent), "0", "-")
}
