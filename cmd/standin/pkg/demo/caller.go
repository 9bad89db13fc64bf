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
	"github.com/azuretiller/azuretiller/pkg/entry"
	"github.com/azuretiller/azuretiller/pkg/headers"
)

const (
	workIDHeader = "X-Work-Id"
	callTimeout  = 8 * time.Second
	// maxAttempts is how often a caller sends a request that may be sent again.
	maxAttempts  = 4
	retryBackoff = 100 * time.Millisecond
)

// caller is the program of one team.
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

// call is one thing that a caller wants done.
type call struct {
	id         string
	method     string
	path       string
	idempotent bool
}

// result is the end of one send.
type result struct {
	code    azuretiller.Code
	outcome string
	status  int
	total   time.Duration
	server  time.Duration
	queue   time.Duration
	err     error
}

func newCaller(team, key string, seeds []string, l *recorder, seed uint64) *caller {
	return &caller{
		team:     team,
		key:      key,
		seeds:    seeds,
		recorder: l,
		random:   rand.New(rand.NewPCG(seed, 0)),
		client:   &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
}

// do sends work until it is done or may not be sent again.
func (c *caller) do(ctx context.Context, w call) {
	var last result
	ran := false
	for send := range maxAttempts {
		last = c.send(ctx, w, send)
		c.recorder.recordAttempt(c.team, w, last)
		if last.err == nil && last.outcome == azuretiller.Done.String() {
			break
		}
		if last.outcome != azuretiller.NotRun.String() {
			ran = true
		}
		if !c.mayRetry(w, last) {
			break
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(retryBackoff << send):
		}
	}
	c.recorder.recordOutcome(c.team, w, last, ran)
}

// mayRetry reports whether sending again is safe: the request is idempotent, has an id, or did not run.
func (c *caller) mayRetry(w call, r result) bool {
	switch r.code {
	case azuretiller.CodeRateExceeded, azuretiller.CodeUnknownKey, azuretiller.CodeIDUnknownAge:
		return false
	}
	return w.idempotent || w.id != "" || r.outcome == azuretiller.NotRun.String()
}

func (c *caller) send(ctx context.Context, w call, attempt int) result {
	address, err := c.address(ctx, attempt)
	if err != nil {
		return result{err: err, outcome: azuretiller.NotRun.String()}
	}
	var body io.Reader
	if !w.idempotent {
		body = strings.NewReader(`{"order":"` + w.id + `"}`)
	}
	request, err := http.NewRequestWithContext(ctx, w.method, "http://"+address+w.path, body)
	if err != nil {
		return result{err: err, outcome: azuretiller.NotRun.String()}
	}
	request.Header.Set("X-Api-Key", c.key)
	request.Header.Set(workIDHeader, w.id)
	if !w.idempotent {
		request.Header[headers.Idempotency] = []string{w.id}
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
	// A server error says nothing of the work, so that only good answers can be compared with what was asked for.
	good := r.code == azuretiller.CodeOK && r.status < http.StatusInternalServerError
	if good && !strings.Contains(string(data), "work="+w.id) && !strings.Contains(w.path, "size=") {
		c.recorder.recordMismatch(fmt.Sprintf("work %s got the answer %q", w.id, data))
	}
	return r
}

func parseResult(response *http.Response, total time.Duration) result {
	code, _ := strconv.Atoi(response.Header.Get(headers.Code))
	r := result{
		code:    azuretiller.Code(code),
		outcome: response.Header.Get(headers.Outcome),
		status:  response.StatusCode,
		total:   total,
	}
	for part := range strings.SplitSeq(response.Header.Get("Server-Timing"), ", ") {
		name, value, _ := strings.Cut(part, ";dur=")
		ms, _ := strconv.ParseFloat(value, 64)
		switch name {
		case "server":
			r.server = time.Duration(ms * float64(time.Millisecond))
		case "queue":
			r.queue = time.Duration(ms * float64(time.Millisecond))
		}
	}
	return r
}

// address returns the address to use, asking for new ones when the answer has expired.
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
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.seeds[i]+entry.AddressPath, nil)
		if err != nil {
			return errors.Wrap(err, "ask for addresses")
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
	return errors.New("no VM tells addresses")
}

// moveLast puts an address that could not be reached last.
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

// run sends work at a steady rate until the context ends.
func (c *caller) run(ctx context.Context, perSecond float64, next func() call) {
	var group sync.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w := next()
			// Work that was begun is ended, so that its fate can be checked.
			group.Go(func() { c.do(context.WithoutCancel(ctx), w) })
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
