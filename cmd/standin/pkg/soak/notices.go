package soak

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/azuretiller/azuretiller/cmd/standin/pkg/backendserver"
	"github.com/azuretiller/azuretiller/pkg/timer"
)

const (
	// pauseGrace is the time after a rejection with Retry-After in which requests may still reach the server, and maxPausedArrivals the
	// number of requests of one VM that may reach it between then and the end of the time.
	pauseGrace        = 500 * time.Millisecond
	maxPausedArrivals = 2
	// maxCheckedPause is the longest time that VMs must honour.
	maxCheckedPause = 5 * time.Minute
	// noticeSeed makes the sequence of notices independent of that of the other faults.
	noticeSeed = 22
)

// noticeKind is a way in which a backend server says that it wants no requests.
type noticeKind struct {
	name    string
	notices []backendserver.Notice
	// shortest and longest bound the time for which the server says so.
	shortest, longest time.Duration
	// restart means that the server begins its next incarnation afterwards, since it would get no more requests otherwise.
	restart bool
}

func noticeKinds() []noticeKind {
	leaving := []backendserver.Notice{{Leaving: true}}
	return []noticeKind{
		{"leaves at once", leaving, 100 * time.Millisecond, time.Second, true},
		{"leaves for many seconds", leaving, 3 * time.Second, 8 * time.Second, true},
		{"sheds for short times", []backendserver.Notice{{RetryAfter: "0.4"}, {RetryAfter: "0.75"}}, 300 * time.Millisecond, 3 * time.Second, false},
		{"sheds for long times", []backendserver.Notice{{RetryAfter: "1.5"}, {RetryAfter: "3"}, {RetryAfter: "4.25"}}, 300 * time.Millisecond, 4 * time.Second, false},
		{
			"sheds with odd values",
			[]backendserver.Notice{{RetryAfter: "-1"}, {RetryAfter: "NaN"}, {RetryAfter: "soon"}, {RetryAfter: "864000"}, {RetryAfter: "1e999"}, {RetryAfter: "Sat, 05 Dec 2026 02:00:00 GMT"}},
			300 * time.Millisecond, 2 * time.Second, true,
		},
		{"leaves and sheds", []backendserver.Notice{{Leaving: true, RetryAfter: "2"}}, 300 * time.Millisecond, 4 * time.Second, true},
	}
}

// injectNotices makes random servers say that they leave or want a pause, without a word in the registry, until FaultDuration has passed.
// It returns when all of them take requests again.
func (s *Soak) injectNotices(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.params.Seed, noticeSeed))
	end := time.Now().Add(s.params.FaultDuration)
	var pending sync.WaitGroup
	busy := make([]sync.Mutex, len(s.servers))
	for time.Now().Before(end) && ctx.Err() == nil {
		i := random.IntN(len(s.servers))
		kind := noticeKinds()[random.IntN(len(noticeKinds()))]
		notice := kind.notices[random.IntN(len(kind.notices))]
		duration := kind.shortest + time.Duration(random.Int64N(int64(kind.longest-kind.shortest)))
		wait := time.Duration(200+random.IntN(1200)) * time.Millisecond
		if busy[i].TryLock() {
			s.noticeCount++
			pending.Go(func() {
				defer busy[i].Unlock()
				s.servers[i].SetNotice(notice)
				timer.Sleep(ctx, duration)
				if kind.restart {
					s.servers[i].Restart()
					return
				}
				s.servers[i].SetNotice(backendserver.Notice{})
			})
		}
		timer.Sleep(ctx, wait)
	}
	pending.Wait()
}

// incarnation identifies what one VM knows about one incarnation of a backend server.
type incarnation struct {
	vm, server, number int
}

// checkNotices returns a violation for each request that reached a server against its notice, unless the VM that sent it, or its
// connections to the server, had a fault meanwhile.
func (rec *recorder) checkNotices(servers []*backendserver.Server) []string {
	var violations []string
	for i, server := range servers {
		arrivals := map[incarnation][]backendserver.Arrival{}
		toldAt := map[incarnation]time.Time{}
		for _, a := range server.Arrivals() {
			o, ok := rec.outcomes[a.Attempt]
			if !ok {
				continue
			}
			key := incarnation{vm: o.vm.index, server: i, number: a.Incarnation}
			arrivals[key] = append(arrivals[key], a)
			if at, ok := toldAt[key]; o.leaving == string(server.ID()) && (!ok || o.endedAt.Before(at)) {
				toldAt[key] = o.endedAt
			}
		}
		for key, list := range arrivals {
			if at, ok := toldAt[key]; ok {
				violations = append(violations, rec.checkLeaving(key, list, at)...)
			}
			violations = append(violations, rec.checkPauses(key, list)...)
		}
	}
	return violations
}

func (rec *recorder) checkLeaving(key incarnation, arrivals []backendserver.Arrival, toldAt time.Time) []string {
	var violations []string
	for _, a := range arrivals {
		if rec.outcomes[a.Attempt].sentAt.After(toldAt) && !rec.vmDisrupted(key.vm, toldAt, a.At) {
			violations = append(violations, fmt.Sprintf("request %s reached leaving server %d from VM %d, %v after the VM had passed on an answer that said so", a.Attempt, key.server, key.vm, a.At.Sub(toldAt)))
		}
	}
	return violations
}

func (rec *recorder) checkPauses(key incarnation, arrivals []backendserver.Arrival) []string {
	var violations []string
	for _, rejected := range arrivals {
		from, until := rejected.AnsweredAt.Add(pauseGrace), rejected.AnsweredAt.Add(checkedPause(rejected.Notice.RetryAfter))
		// A caller that left, or a fault, may have kept the response from the VM.
		if rejected.AnsweredAt.IsZero() || rec.outcomes[rejected.Attempt].status == 0 ||
			rec.vmDisrupted(key.vm, rejected.At, until) || rec.linkDisrupted(key.server, rejected.At, from) {
			continue
		}
		reached := 0
		for _, a := range arrivals {
			if a.At.After(from) && a.At.Before(until) {
				reached++
			}
		}
		if reached > maxPausedArrivals {
			violations = append(violations, fmt.Sprintf("%d requests reached server %d from VM %d within the %s s for which it had asked for none", reached, key.server, key.vm, rejected.Notice.RetryAfter))
		}
	}
	return violations
}

// checkedPause returns the time that VMs must honour for a value of Retry-After.
func checkedPause(value string) time.Duration {
	seconds, err := strconv.ParseFloat(value, 64)
	if (err != nil && !math.IsInf(seconds, 1)) || math.IsNaN(seconds) || seconds < 0 {
		return 0
	}
	return time.Duration(min(seconds, maxCheckedPause.Seconds()) * float64(time.Second))
}
