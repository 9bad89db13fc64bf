package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/headers"
	"github.com/azuretiller/azuretiller/pkg/ingress"
)

const (
	workIDHeader = "X-Work-Id"
	callTimeout  = 8 * time.Second
	// maxAttempts is the limit of attempts for an operation that may be retried.
	maxAttempts  = 4
	retryBackoff = 100 * time.Millisecond
)

// caller is a client of one team.
type caller struct {
	team     string
	key      string
	seeds    []string
	client   *http.Client
	recorder *recorder

	mu              sync.Mutex
	random          *rand.Rand
	addresses       []string
	addressesExpire time.Time
}

// operation is one logical request of a caller. It may take several attempts.
type operation struct {
	id         string
	method     string
	path       string
	idempotent bool
}

// result is the result of one attempt.
type result struct {
	code azuretiller.Code
	// outcome is the outcome that the VM reported, or an empty string if no response arrived.
	outcome    string
	status     int
	totalTime  time.Duration
	serverTime time.Duration
	queueTime  time.Duration
	err        error
}

func newCaller(team, key string, seeds []string, rec *recorder, seed uint64) *caller {
	return &caller{
		team:     team,
		key:      key,
		seeds:    seeds,
		recorder: rec,
		random:   rand.New(rand.NewPCG(seed, 0)),
		client:   &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
}

// run sends an operation until its outcome is Done, it may not be retried or all attempts are used.
func (c *caller) run(ctx context.Context, op operation) {
	var last result
	mayHaveRun := false
	for attempt := range maxAttempts {
		last = c.send(ctx, op, attempt)
		c.recorder.recordAttempt(c.team, op, last)
		if last.err == nil && last.outcome == azuretiller.Done.String() {
			break
		}
		if last.outcome != azuretiller.NotRun.String() {
			mayHaveRun = true
		}
		if !c.mayRetry(op, last) {
			break
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(retryBackoff << attempt):
		}
	}
	c.recorder.recordOutcome(c.team, op, last, mayHaveRun)
}

// mayRetry reports whether a retry is safe and useful. It is safe if the operation is idempotent, has a request ID or did
// not run. It is not useful after the codes for an exceeded rate, an unknown key and a request ID of unknown age.
func (c *caller) mayRetry(op operation, r result) bool {
	switch r.code {
	case azuretiller.CodeRateExceeded, azuretiller.CodeUnknownKey, azuretiller.CodeIDUnknownAge:
		return false
	}
	return op.idempotent || op.id != "" || r.outcome == azuretiller.NotRun.String()
}

func (c *caller) send(ctx context.Context, op operation, attempt int) result {
	address, err := c.address(ctx, attempt)
	if err != nil {
		return result{err: err, outcome: azuretiller.NotRun.String()}
	}
	var body io.Reader
	if !op.idempotent {
		body = strings.NewReader(`{"order":"` + op.id + `"}`)
	}
	request, err := http.NewRequestWithContext(ctx, op.method, "http://"+address+op.path, body)
	if err != nil {
		return result{err: err, outcome: azuretiller.NotRun.String()}
	}
	request.Header.Set("X-Api-Key", c.key)
	request.Header.Set(workIDHeader, op.id)
	if !op.idempotent {
		request.Header[headers.IdempotencyKey] = []string{op.id}
	}
	started := time.Now()
	response, err := c.client.Do(request)
	if err != nil {
		c.moveLast(address)
		return result{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	r := parseResult(response, time.Since(started))
	if err != nil {
		r.err = err
		r.outcome = azuretiller.MayHaveRun.String()
		return r
	}
	// Only the body of a successful response names the operation. The body of a server error does not.
	succeeded := r.code == azuretiller.CodeOK && r.status < http.StatusInternalServerError
	if succeeded && !strings.Contains(string(data), "work="+op.id) && !strings.Contains(op.path, "size=") {
		c.recorder.recordMismatch(fmt.Sprintf("operation %s received the response %q", op.id, data))
	}
	return r
}

func parseResult(response *http.Response, total time.Duration) result {
	code, _ := strconv.Atoi(response.Header.Get(headers.Code))
	r := result{
		code:      azuretiller.Code(code),
		outcome:   response.Header.Get(headers.Outcome),
		status:    response.StatusCode,
		totalTime: total,
	}
	for part := range strings.SplitSeq(response.Header.Get("Server-Timing"), ", ") {
		name, value, _ := strings.Cut(part, ";dur=")
		ms, _ := strconv.ParseFloat(value, 64)
		switch name {
		case "server":
			r.serverTime = time.Duration(ms * float64(time.Millisecond))
		case "queue":
			r.queueTime = time.Duration(ms * float64(time.Millisecond))
		}
	}
	return r
}

// address returns the VM address for an attempt. It fetches new addresses when the old ones have expired.
func (c *caller) address(ctx context.Context, attempt int) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.addressesExpire) || len(c.addresses) == 0 {
		if err := c.fetchAddresses(ctx); err != nil {
			return "", err
		}
	}
	return c.addresses[attempt%len(c.addresses)], nil
}

func (c *caller) fetchAddresses(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	for _, i := range c.random.Perm(len(c.seeds)) {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.seeds[i]+ingress.AddressPath, nil)
		if err != nil {
			return errors.Wrap(err, "create address request")
		}
		request.Header.Set("X-Api-Key", c.key)
		response, err := c.client.Do(request)
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
			Seconds   int      `json:"seconds"`
		}
		err = json.NewDecoder(response.Body).Decode(&answer)
		_ = response.Body.Close()
		if err == nil && len(answer.Addresses) > 0 {
			c.addresses = answer.Addresses
			c.addressesExpire = time.Now().Add(time.Duration(answer.Seconds) * time.Second)
			return nil
		}
	}
	return errors.New("no VM returned addresses")
}

// moveLast moves an unreachable address to the end of the list, so that retries try the others first.
func (c *caller) moveLast(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, a := range c.addresses {
		if a == address {
			c.addresses = append(append(c.addresses[:i:i], c.addresses[i+1:]...), address)
			return
		}
	}
}

// runAtRate starts operations at a constant rate until ctx is done, and waits for them.
func (c *caller) runAtRate(ctx context.Context, perSecond float64, next func() operation) {
	var group sync.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			op := next()
			// A started operation runs to its end after ctx is done, so that its outcome can be checked.
			group.Go(func() { c.run(context.WithoutCancel(ctx), op) })
		}
	}
}

func newID() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}
