package pool_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/figures"
)

// detectionTimes measures how long a faulty server stays in service, once for each seed. A server that is not ejected within
// the horizon counts as missed.
func detectionTimes(seeds int, servers int, perServer float64, onceShare float64, fault func(*fakeServer)) (times []time.Duration, missed int) {
	const horizon = 30 * time.Second
	for seed := range seeds {
		s := newSim(uint64(seed), servers)
		s.arrivals(perServer*float64(servers), s.Now().Add(time.Hour), s.lookups(8, onceShare, 0.5))
		s.Run(60 * time.Second)
		faulty := s.servers["s0:80"]
		fault(faulty)
		start := s.Now()
		s.Run(horizon)
		if at, ok := s.ejectedAt[faulty.id]; ok && at.After(start) {
			times = append(times, at.Sub(start))
		} else {
			times = append(times, horizon)
			missed++
		}
	}
	return times, missed
}

func TestFigureDetection(t *testing.T) {
	figures.SkipUnlessEnabled(t)
	tests := []struct {
		desc      string
		servers   int
		perServer float64
		target    string
		fault     func(*fakeServer)
	}{
		{"half of the work fails, 10/s a server, 3 servers", 3, 10, "1s", func(s *fakeServer) { s.failureRate = 0.5 }},
		{"half of the work fails, 2/s a server, 3 servers", 3, 2, "4s", func(s *fakeServer) { s.failureRate = 0.5 }},
		{"half of the work fails, 10/s a server, 10 servers", 10, 10, "1s", func(s *fakeServer) { s.failureRate = 0.5 }},
		{"half of the work fails, 2/s a server, 10 servers", 10, 2, "4s", func(s *fakeServer) { s.failureRate = 0.5 }},
		{"all of the work fails, 10/s a server, 3 servers", 3, 10, "1s", func(s *fakeServer) { s.failureRate = 1 }},
		{"30% of the work fails, 10/s a server, 3 servers", 3, 10, "-", func(s *fakeServer) { s.failureRate = 0.3 }},
		{"10% of the work fails, 10/s a server, 3 servers", 3, 10, "-", func(s *fakeServer) { s.failureRate = 0.1 }},
		{"ten times slower, 10/s a server, 3 servers", 3, 10, "-", func(s *fakeServer) { s.slowFactor = 10 }},
	}
	for _, tc := range tests {
		times, missed := detectionTimes(1000, tc.servers, tc.perServer, 0.2, tc.fault)
		figures.Print("ejected: "+tc.desc,
			fmt.Sprintf("p50 %s p99 %s, missed %d of %d", figures.Quantile(times, 0.5).Round(time.Millisecond), figures.Quantile(times, 0.99).Round(time.Millisecond), missed, len(times)),
			tc.target, "-")
	}
}

func TestFigureFalseEjections(t *testing.T) {
	figures.SkipUnlessEnabled(t)
	const requests = 10_000_000
	sent, ejections := 0, 0
	for seed := uint64(0); sent < requests; seed++ {
		s := newSim(1000+seed, 3)
		for _, server := range s.servers {
			server.failureRate = 0.005
		}
		lookup := s.lookups(8, 0.2, 1)
		s.arrivals(120, s.Now().Add(time.Hour), func() *simRequest {
			req := lookup()
			req.broken = req.team == teamName(0)
			return req
		})
		s.Run(time.Hour)
		sent += s.sent
		ejections += s.ejections
	}
	figures.Print("false ejections, heavy tail, 0.5% errors, one bad team", fmt.Sprintf("%d in %d requests", ejections, sent), "0", "-")
}

// TestFigureColdStart starts all servers of a service cold under full demand. It compares the ramp with an ideal one, in
// which every server always runs as many requests as it can without overload.
func TestFigureColdStart(t *testing.T) {
	figures.SkipUnlessEnabled(t)
	const demand = 250.0
	for _, tc := range []struct {
		desc    string
		servers int
	}{{"3 servers", 3}, {"10 servers", 10}} {
		var ratios []time.Duration
		overload, total := 0, 0
		for seed := range uint64(20) {
			s := newSim(seed, tc.servers)
			for _, server := range s.servers {
				server.warmth = 0
				server.warmupWork = 3 * time.Second
			}
			perServer := demand * 0.9
			s.arrivals(perServer*float64(tc.servers), s.Now().Add(time.Hour), s.lookups(8, 0.2, 0.3))
			start := s.Now()
			reached := time.Duration(0)
			lastSent := 0
			for reached == 0 && s.Now().Sub(start) < 2*time.Minute {
				s.Run(500 * time.Millisecond)
				if float64(s.sent-lastSent)*2 >= 0.95*perServer*float64(tc.servers) {
					reached = s.Now().Sub(start)
				}
				lastSent = s.sent
			}
			ratios = append(ratios, time.Duration(float64(reached)/float64(idealRamp(perServer))*float64(time.Second)))
			for _, server := range s.servers {
				overload += server.overloadRuns
			}
			total += s.sent
		}
		figures.Print("cold start, "+tc.desc+": time to 95% of full rate by the ideal ramp",
			fmt.Sprintf("p50 %.2f max %.2f", figures.Quantile(ratios, 0.5).Seconds(), figures.Quantile(ratios, 1).Seconds()), "1.5", "-")
		figures.Print("cold start, "+tc.desc+": requests beyond what a server bears", fmt.Sprintf("%d of %d", overload, total), "0", "-")
	}
}

// idealRamp returns the time in which a server that always runs at its capacity reaches 95 % of a rate.
func idealRamp(perSecond float64) time.Duration {
	const work = 10 * time.Millisecond
	const dt = time.Millisecond
	s := fakeServer{warmupWork: 3 * time.Second}
	for now := time.Duration(0); ; now += dt {
		slotTime := float64(work) * (1 + (coldFactor-1)*(1-s.warmth))
		rate := float64(s.capacity()) / slotTime * float64(time.Second)
		if rate >= 0.95*perSecond {
			return now
		}
		s.warmth = min(1, s.warmth+rate*dt.Seconds()*float64(work)/float64(s.warmupWork))
	}
}

// TestFigureFairness compares the worst-served with the best-served team of those that stay within their fair share.
func TestFigureFairness(t *testing.T) {
	figures.SkipUnlessEnabled(t)
	for _, tc := range []struct {
		desc string
		lost int
		rate float64
	}{
		{"one team at 5 times its rate", 0, 5},
		{"a third of the servers lost", 1, 1},
	} {
		worst := 1.0
		for seed := range uint64(10) {
			s := newSim(seed, 3)
			offered, served := map[string]int{}, map[string]int{}
			s.onDone = func(req *simRequest, ok bool, _ azuretiller.Code) {
				offered[string(req.team)]++
				if ok {
					served[string(req.team)]++
				}
			}
			lookup := s.lookups(1, 0, 0.5)
			// The capacity is about 800 requests a second for 8 teams. Teams 1 to 7 send less than their share of the
			// remaining capacity.
			s.arrivals(300, s.Now().Add(20*time.Second), lookup)
			s.Run(20 * time.Second)
			clear(offered)
			clear(served)
			end := s.Now().Add(time.Minute)
			for team := range 8 {
				perSecond := 55.0
				if team == 0 {
					perSecond = 100 * tc.rate
				}
				s.arrivals(perSecond, end, func() *simRequest {
					req := lookup()
					req.team = teamName(team)
					return req
				})
			}
			for i := range tc.lost {
				s.servers[azuretiller.ServerID(fmt.Sprintf("s%d:80", i))].unreachable = true
			}
			s.Run(70 * time.Second)
			low, high := 1.0, 0.0
			for team := 1; team < 8; team++ {
				share := float64(served[string(teamName(team))]) / float64(offered[string(teamName(team))])
				low, high = min(low, share), max(high, share)
			}
			worst = min(worst, low/high)
		}
		figures.Print("fairness, "+tc.desc+": worst by best of the teams within their share", fmt.Sprintf("%.4f", worst), "0.99", "-")
	}
}

// TestFigureHeavy measures the latency of short lookups beside enough downloads of 1 s each to occupy all slots.
func TestFigureHeavy(t *testing.T) {
	figures.SkipUnlessEnabled(t)
	var waits []time.Duration
	for seed := range uint64(10) {
		s := newSim(seed, 3)
		s.onDone = func(req *simRequest, ok bool, _ azuretiller.Code) {
			took := s.Now().Sub(req.started)
			if !ok {
				took = req.timeout
			}
			if req.route == "orders/status" {
				waits = append(waits, took)
			}
		}
		end := s.Now().Add(time.Minute)
		s.arrivals(30, end, s.lookups(8, 0, 0.5))
		s.arrivals(12, end, func() *simRequest {
			return &simRequest{team: teamName(s.random.IntN(8)), route: "orders/pack", idempotent: true, retries: 2, work: time.Second, timeout: 10 * time.Second}
		})
		s.Run(70 * time.Second)
	}
	figures.Print("short lookups of 10 ms beside downloads for all slots", fmt.Sprintf("p50 %s p99 %s", figures.Quantile(waits, 0.5).Round(time.Millisecond), figures.Quantile(waits, 0.99).Round(time.Millisecond)), "-", "-")
}

// TestFigureRetries measures the load that retries add when half of the servers fail half or all of their requests.
func TestFigureRetries(t *testing.T) {
	figures.SkipUnlessEnabled(t)
	for _, fail := range []float64{0.5, 1} {
		offered, sent, succeeded := 0, 0, 0
		for seed := range uint64(10) {
			s := newSim(seed, 4)
			s.onDone = func(_ *simRequest, ok bool, _ azuretiller.Code) {
				if ok {
					succeeded++
				}
			}
			lookup := s.lookups(8, 0.2, 0.5)
			s.arrivals(100, s.Now().Add(time.Minute), func() *simRequest { offered++; return lookup() })
			s.Run(20 * time.Second)
			s.servers["s0:80"].failureRate = fail
			s.servers["s1:80"].failureRate = fail
			s.Run(50 * time.Second)
			sent += s.sent
		}
		figures.Print(fmt.Sprintf("retries while half of the servers fail %.0f%%: load", 100*fail), fmt.Sprintf("%.3f of the requests, %.4f of them answered well", float64(sent)/float64(offered), float64(succeeded)/float64(offered)), "1.10", "-")
	}
}

// TestFigureFlapping measures how many requests a flapping server receives in each of its faulty phases.
func TestFigureFlapping(t *testing.T) {
	figures.SkipUnlessEnabled(t)
	perTurn := make([]int, 4)
	for seed := range uint64(20) {
		s := newSim(seed, 3)
		s.arrivals(60, s.Now().Add(time.Hour), s.lookups(8, 0.2, 0.5))
		s.Run(30 * time.Second)
		faulty := s.servers["s0:80"]
		faulty.failureRate = 0.5
		start := s.Now()
		faulty.faultActive = func(now time.Time) bool { return int(now.Sub(start)/(10*time.Second))%2 == 0 }
		for turn := range perTurn {
			before := faulty.runs
			s.Run(10 * time.Second)
			perTurn[turn] += faulty.runs - before
			s.Run(10 * time.Second)
		}
	}
	figures.Print("flapping server: requests that it gets in each bad turn of 10 s", fmt.Sprintf("%.1f %.1f %.1f %.1f", float64(perTurn[0])/20, float64(perTurn[1])/20, float64(perTurn[2])/20, float64(perTurn[3])/20), "falling", "-")
}
