package soak

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/azuretiller/azuretiller/cmd/standin/pkg/worker"
	"github.com/azuretiller/azuretiller/platform"
)

const (
	host        = "gateway.example"
	freeTeam    = "team-free"
	freeKey     = "key-free"
	limitedTeam = "team-limited"
	limitedKey  = "key-limited"
)

// outcome is what a caller saw of one request.
type outcome struct {
	attempt string
	order   bool
	key     string
	status  int
}

// ledger keeps what callers saw.
type ledger struct {
	mu       sync.Mutex
	outcomes map[string]outcome
	served   int
	refused  int
	failed   int
	breaches []string
	next     int
}

func newLedger() *ledger { return &ledger{outcomes: map[string]outcome{}} }

// String returns the counts for the report.
func (l *ledger) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprintf("%d requests, %d served, %d refused, %d failed", len(l.outcomes), l.served, l.refused, l.failed)
}

func (l *ledger) breach(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breaches = append(l.breaches, text)
}

func (l *ledger) attempt() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	return fmt.Sprint("a-", l.next)
}

func (l *ledger) note(o outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[o.attempt] = o
	switch {
	case o.status == http.StatusOK:
		l.served++
	case platform.PromisesNotRun(o.status):
		l.refused++
	default:
		l.failed++
	}
}

// call sends requests of one caller until the context ends. It keeps connections open and changes the VM now and then.
func (s *Soak) call(ctx context.Context, caller int) {
	random := rand.New(rand.NewPCG(s.params.Seed, uint64(100+caller)))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 4 * time.Second}
	defer client.CloseIdleConnections()
	v := s.vms[random.IntN(len(s.vms))]
	for ctx.Err() == nil {
		if random.IntN(10) == 0 {
			v = s.vms[random.IntN(len(s.vms))]
		}
		method, key := "GET", freeKey
		if random.IntN(2) == 0 {
			method = "POST"
		}
		if caller%4 == 0 {
			key = limitedKey
		}
		o := s.request(ctx, client, v.callers(), method, key)
		if o.status == 0 {
			v = s.vms[random.IntN(len(s.vms))]
		}
		time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
	}
}

// request sends one request and notes what came of it.
func (s *Soak) request(ctx context.Context, client *http.Client, address, method, key string) outcome {
	o := outcome{attempt: s.ledger.attempt(), order: method == "POST", key: key}
	defer func() { s.ledger.note(o) }()
	path, body := "/reads/", ""
	if o.order {
		path, body = "/orders/", "body of "+o.attempt
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path+o.attempt, strings.NewReader(body))
	if err != nil {
		s.note(err)
		return o
	}
	request.Host = host
	request.Header.Set(platform.HeaderAttempt, o.attempt)
	request.Header.Set(platform.HeaderDeadline, "2000")
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := client.Do(request)
	if err != nil {
		return o
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return o
	}
	o.status = response.StatusCode
	if o.status == http.StatusOK {
		if response.Header.Get(platform.HeaderAttempt) != o.attempt {
			s.ledger.breach("request " + o.attempt + " got the answer of another one")
		}
		if !strings.HasPrefix(string(text), "made by i-") {
			s.ledger.breach("request " + o.attempt + " got half an answer")
		}
	}
	return o
}

// check compares what callers and backend servers saw.
func (l *ledger) check(workers []*worker.Worker) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	broken := slices.Clone(l.breaches)
	runs := map[string]int{}
	var limited []time.Time
	for _, w := range workers {
		for _, r := range w.Runs() {
			runs[r.Attempt]++
			o, known := l.outcomes[r.Attempt]
			team := freeTeam
			if o.key == limitedKey {
				team = limitedTeam
				if runs[r.Attempt] == 1 {
					limited = append(limited, r.At)
				}
			}
			body := ""
			if o.order {
				body = "body of " + r.Attempt
			}
			if !known || r.Team != team || r.Key != "" || r.Body != body || r.Host != host || !strings.HasSuffix(r.Target, "/"+r.Attempt) {
				broken = append(broken, fmt.Sprintf("a server ran %+v, which nobody sent", r))
			}
		}
	}
	for attempt, o := range l.outcomes {
		if o.order && runs[attempt] > 1 {
			broken = append(broken, fmt.Sprintf("order %s ran %d times", attempt, runs[attempt]))
		}
		if o.order && platform.PromisesNotRun(o.status) && runs[attempt] > 0 {
			broken = append(broken, fmt.Sprintf("order %s ran although it was refused with %d", attempt, o.status))
		}
	}
	return append(broken, overRate(limited)...)
}

// overRate looks at every window of five seconds.
func overRate(times []time.Time) []string {
	const window = 5 * time.Second
	most := (rate*window.Seconds()+burst)*(1+rateOver) + rateSlack
	slices.SortFunc(times, func(a, b time.Time) int { return cmp.Compare(a.UnixNano(), b.UnixNano()) })
	for i, first := 0, 0; i < len(times); i++ {
		for times[i].Sub(times[first]) >= window {
			first++
		}
		if n := i - first + 1; float64(n) > most {
			return []string{fmt.Sprintf("the limited team ran %d requests within 5 s, allowed are %.0f", n, most)}
		}
	}
	return nil
}
