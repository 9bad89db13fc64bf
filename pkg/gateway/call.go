package gateway

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/ending"
	"github.com/azuretiller/azuretiller/pkg/headers"
	"github.com/azuretiller/azuretiller/pkg/logid"
	"github.com/azuretiller/azuretiller/pkg/pipeline"
	"github.com/azuretiller/azuretiller/platform"
)

// call is one request of a caller.
type call struct {
	gateway *Gateway
	writer  http.ResponseWriter
	request *http.Request
	state   *State
	started time.Time
	id      string
	// loggedID is the id in log lines and in messages to the leader, where it only serves the log.
	loggedID string
	route    config.Route
	team     config.Team
	// body is nil if the request has no body.
	body        *body
	fingerprint uint64
	headers     http.Header
	timeout     time.Duration
	// The fields below are written to the log line of the request.
	code     azuretiller.Code
	status   int
	server   azuretiller.InstanceID
	service  azuretiller.ServiceID
	attempts int
	// possiblySent counts the attempts that may have reached a server; the route limits them.
	possiblySent int
	// placed is set when an attempt got a server, and with it the token of the request.
	placed atomic.Bool
	// sentTo is the server of the newest attempt, for the log line of a request that ends before its attempts.
	sentTo atomic.Pointer[azuretiller.InstanceID]
	// withheld counts the attempts that were not sent since the server had asked this VM for no requests.
	withheld int
	// allPaused means that every server that could run the request is leaving or asked this VM for a pause.
	allPaused bool
	// pauseEnds means that the Retry-After time is the end of a pause that a server asked for.
	pauseEnds     bool
	withoutLeader bool
	reason        string
	// behind is how long the request waited behind others on its connection before it was served.
	behind time.Duration
	// stopAt is when the VM stops, as known when the request was accepted.
	stopAt *time.Time
	// streamed means that the whole response was written while it arrived.
	streamed bool
	// ended is empty if the caller got a complete response.
	ended ending.Ending
}

func newCall(g *Gateway, w http.ResponseWriter, r *http.Request) *call {
	c := &call{
		gateway: g,
		writer:  w,
		request: r,
		state:   g.current(),
		body:    g.newBody(w, r),
		started: g.common.Clock.Now(),
		id:      r.Header.Get(platform.HeaderAttempt),
	}
	c.loggedID = logid.Shorten(c.id)
	if early, ok := w.(earlyWriter); ok {
		c.started = early.ReadAt()
	} else {
		c.behind = pipeline.Waited(r.Context())
	}
	return c
}

// awaitReady waits up to maxLeaderWait for the first configuration or a new leader. After a restart of all VMs or the loss of the
// leaderAddress, they are available within tenths of a second, while a refusal would fail the caller's request.
func (c *call) awaitReady(ctx context.Context) {
	c.state = c.awaitLeader(ctx, c.state, c.started.Add(maxLeaderWait))
}

// awaitLeader waits until there is a configuration and a leader, as long as they are expected soon and at most until the given time.
// It returns the newest state.
func (c *call) awaitLeader(ctx context.Context, state *State, deadline time.Time) *State {
	for !state.hasConfigAndLeader() && state.LeaderExpected && c.gateway.common.Clock.Now().Before(deadline) {
		select {
		case <-ctx.Done():
			return state
		case <-time.After(leaderPollInterval):
		}
		state = c.gateway.current()
	}
	return state
}

// prepare finds the route and the team, and reads the body as far as it may be buffered.
func (c *call) prepare() azuretiller.Code {
	if c.state.Config == nil {
		return azuretiller.CodeNotReady
	}
	route, ok := matchRoute(c.state.Config, c.request)
	if !ok {
		return azuretiller.CodeNoRoute
	}
	c.route = route
	if code := c.identifyTeam(); code != azuretiller.CodeOK {
		return code
	}
	c.timeout = c.route.RequestTimeout(c.request.Header.Get(platform.HeaderDeadline))
	// The headers are changed in place, since a copy of many lines takes many times their size.
	c.headers = c.request.Header
	headers.StripHopByHop(c.headers)
	for _, name := range []string{"Authorization", platform.HeaderTeam, platform.HeaderInstance, platform.HeaderDeadline} {
		c.headers.Del(name)
	}
	if c.team.ID != "" {
		c.headers.Set(platform.HeaderTeam, string(c.team.ID))
	}
	if code := c.readBody(); code != azuretiller.CodeOK {
		return code
	}
	c.computeFingerprint()
	return azuretiller.CodeOK
}

// matchRoute returns the route of a request.
func matchRoute(c *config.Config, r *http.Request) (config.Route, bool) {
	host := r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return c.MatchHost(strings.ToLower(host), r.URL.Path)
}

func (c *call) identifyTeam() azuretiller.Code {
	if c.route.AllowAnonymous {
		return azuretiller.CodeOK
	}
	if len(c.state.Config.Teams) == 0 {
		return azuretiller.CodeOK
	}
	key := headers.Key(c.request.Header)
	if key == "" {
		return azuretiller.CodeNoKey
	}
	id, ok := c.state.Config.Keys[azuretiller.HashKey(key)]
	if !ok {
		return azuretiller.CodeUnknownKey
	}
	c.team = c.state.Config.Teams[id]
	return azuretiller.CodeOK
}

func (c *call) priority() int {
	if c.team.HasPriority {
		return c.team.Priority
	}
	return c.route.Priority
}

// computeFingerprint hashes the request without its ids, so that repeated requests have the same value. Of a body that is too long to be
// buffered, only the start counts.
func (c *call) computeFingerprint() {
	d := xxhash.New()
	for _, part := range []string{string(c.team.ID), c.request.Method, c.request.Host, c.request.URL.RequestURI()} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	if c.body != nil {
		c.body.data.WriteBuffered(d)
	}
	c.fingerprint = d.Sum64()
}
