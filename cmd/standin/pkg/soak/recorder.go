package soak

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/azuretiller/azuretiller/cmd/standin/pkg/backendserver"
	"github.com/azuretiller/azuretiller/platform"
)

const (
	host        = "gateway.example"
	freeTeam    = "team-free"
	freeKey     = "key-free"
	limitedTeam = "team-limited"
	limitedKey  = "key-limited"
	readsPath   = "/reads/"
	ordersPath  = "/orders/"
	// maxBodyPrinted is how much of a body a violation shows, in bytes.
	maxBodyPrinted = 100
	// bodyPrefix is followed by the ID of the backend server in the body of its response.
	bodyPrefix = "made by "
	// callerTimeout is the time after which a caller gives up a request.
	callerTimeout = 2 * requestTimeout
	// clock is the format of times in violations, which are found again in the logs of the VMs.
	clock = "15:04:05.000"
)

// outcome is the result of one request as the caller observed it; the status is 0 when no complete response arrived.
type outcome struct {
	attempt string
	// order is true if the request is an order, which may run at most once, and false if it is a read.
	order  bool
	key    string
	status int
	// vm is the VM that got the request between sentAt and endedAt.
	vm              *vm
	sentAt, endedAt time.Time
	// begun means that the head of a response arrived.
	begun bool
	// callerLeft means that the caller gave up before the request ended.
	callerLeft bool
	// uploadSize is the size in bytes of the body of an upload, and 0 for other requests.
	uploadSize int
	// leaving is the ID of the backend server that said in its response that it leaves.
	leaving string
}

// recorder collects the outcomes of all requests and the violations of the system's guarantees.
type recorder struct {
	mu          sync.Mutex
	outcomes    map[string]outcome
	served      int
	refused     int
	failed      int
	violations  []string
	lastAttempt int
	// vmDisruptions and linkDisruptions are the faults that have ended; vmInterruptions are those in which a VM was killed or paused.
	vmDisruptions, vmInterruptions, linkDisruptions []disruption
	// terminations are the grace periods of the VMs that were told to stop.
	terminations []disruption
}

func newRecorder() *recorder { return &recorder{outcomes: map[string]outcome{}} }

// String returns the numbers of requests by outcome, for the report.
func (rec *recorder) String() string {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return fmt.Sprintf("%d requests, %d served, %d refused, %d failed", len(rec.outcomes), rec.served, rec.refused, rec.failed)
}

func (rec *recorder) recordViolation(description string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.violations = append(rec.violations, description)
}

func (rec *recorder) nextAttempt() string {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.lastAttempt++
	return fmt.Sprint("a-", rec.lastAttempt)
}

func (rec *recorder) record(o outcome) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.outcomes[o.attempt] = o
	switch {
	case o.status == http.StatusOK:
		rec.served++
	case platform.PromisesNotRun(o.status):
		rec.refused++
	default:
		rec.failed++
	}
}

// runCaller sends the requests of one caller until the context ends. It reuses connections, and switches to another VM at random
// and after a failed request.
func (s *Soak) runCaller(ctx context.Context, caller int) {
	random := rand.New(rand.NewPCG(s.params.Seed, uint64(100+caller)))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: callerTimeout}
	defer client.CloseIdleConnections()
	v := s.vms[random.IntN(len(s.vms))]
	for ctx.Err() == nil {
		if random.IntN(10) == 0 {
			v = s.vms[random.IntN(len(s.vms))]
		}
		method, path, key := "GET", readsPath, freeKey
		if random.IntN(2) == 0 {
			method, path = "POST", ordersPath
		}
		if caller%4 == 0 {
			key = limitedKey
		}
		o := s.request(ctx, client, v, method, path, key)
		if o.status == 0 {
			v = s.vms[random.IntN(len(s.vms))]
		}
		time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
	}
}

// request sends one request to a VM and records its outcome.
func (s *Soak) request(ctx context.Context, client *http.Client, v *vm, method, path, key string) (o outcome) {
	o = outcome{attempt: s.recorder.nextAttempt(), order: method == "POST", key: key, vm: v, sentAt: time.Now()}
	defer func() {
		o.endedAt = time.Now()
		o.callerLeft = ctx.Err() != nil || o.endedAt.Sub(o.sentAt) >= callerTimeout
		s.recorder.record(o)
	}()
	body := ""
	if o.order {
		body = "body of " + o.attempt
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+v.callerAddress()+path+o.attempt, strings.NewReader(body))
	if err != nil {
		s.recordError(err)
		return o
	}
	request.Host = host
	request.Header.Set(platform.HeaderAttempt, o.attempt)
	request.Header.Set(platform.HeaderDeadline, strconv.FormatInt(requestTimeout.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := client.Do(request)
	if err != nil {
		return o
	}
	defer func() { _ = response.Body.Close() }()
	o.begun = true
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		return o
	}
	o.status = response.StatusCode
	if server, ok := strings.CutPrefix(string(responseBody), bodyPrefix); ok && response.Header.Get(platform.HeaderLeaving) != "" {
		o.leaving = server
	}
	if o.status == http.StatusOK {
		if response.Header.Get(platform.HeaderAttempt) != o.attempt {
			s.recorder.recordViolation("request " + o.attempt + " got the response to another request")
		}
		if !strings.HasPrefix(string(responseBody), bodyPrefix+"i-") {
			s.recorder.recordViolation("request " + o.attempt + " got a malformed or truncated response body")
		}
	}
	return o
}

// findViolations compares the requests that callers sent with those that backend servers ran, and returns all violations.
func (rec *recorder) findViolations(servers []*backendserver.Server) []string {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	violations := slices.Clone(rec.violations)
	runs := map[string]int{}
	var limitedRuns []time.Time
	ranOn := map[string]int{}
	for i, server := range servers {
		for _, r := range server.Runs() {
			runs[r.Attempt]++
			ranOn[r.Attempt] = i
			o, sent := rec.outcomes[r.Attempt]
			team := freeTeam
			if o.key == limitedKey {
				team = limitedTeam
				if runs[r.Attempt] == 1 {
					limitedRuns = append(limitedRuns, r.At)
				}
			}
			body := ""
			switch {
			case o.uploadSize > 0:
				body = uploadBody(r.Attempt, o.uploadSize)
			case o.order:
				body = "body of " + r.Attempt
			}
			if !sent || r.Team != team || r.Key != "" || r.Body != body || r.Host != host || !strings.HasSuffix(r.Target, "/"+r.Attempt) {
				r.Body = r.Body[:min(len(r.Body), maxBodyPrinted)]
				violations = append(violations, fmt.Sprintf("a backend server ran a request that no caller sent: %+v", r))
			}
		}
	}
	for attempt, o := range rec.outcomes {
		if o.order && runs[attempt] > 1 {
			violations = append(violations, fmt.Sprintf("order %s ran %d times", attempt, runs[attempt]))
		}
		if o.order && platform.PromisesNotRun(o.status) && runs[attempt] > 0 {
			violations = append(violations, fmt.Sprintf("order %s ran although it was rejected with status %d", attempt, o.status))
		}
		if server, ran := ranOn[attempt]; ran && rec.cut(o, server) {
			violations = append(violations, fmt.Sprintf("request %s ran, but VM %d closed the connection without a response, from %s to %s",
				attempt, o.vm.index, o.sentAt.UTC().Format(clock), o.endedAt.UTC().Format(clock)))
		}
	}
	violations = append(violations, rec.checkNotices(servers)...)
	return append(violations, checkRate(limitedRuns)...)
}

// cut reports whether a VM closed the connection of a request without a complete response, although the VM was neither killed nor paused
// and its connections to the server had no fault. It may have been told to stop. Only a response that has begun, or an upload, may break
// off at the timeout of the request.
func (rec *recorder) cut(o outcome, server int) bool {
	expired := o.endedAt.Sub(o.sentAt) >= requestTimeout && (o.begun || o.uploadSize > 0)
	return o.status == 0 && !o.callerLeft && !expired && !rec.outlivedGrace(o) &&
		!rec.vmInterrupted(o.vm.index, o.sentAt, o.endedAt) && !rec.linkDisrupted(server, o.sentAt, o.endedAt)
}

// checkRate returns a violation if any window of five seconds contains more runs of the limited team than allowed.
func checkRate(times []time.Time) []string {
	const window = 5 * time.Second
	maxRuns := (limitedRatePerSecond*window.Seconds()+limitedBurst)*(1+rateTolerance) + rateSlackRequests
	slices.SortFunc(times, func(a, b time.Time) int { return cmp.Compare(a.UnixNano(), b.UnixNano()) })
	for i, first := 0, 0; i < len(times); i++ {
		for times[i].Sub(times[first]) >= window {
			first++
		}
		if n := i - first + 1; float64(n) > maxRuns {
			return []string{fmt.Sprintf("the limited team ran %d requests within 5 s; at most %.0f are allowed", n, maxRuns)}
		}
	}
	return nil
}
