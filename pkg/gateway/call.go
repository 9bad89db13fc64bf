package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/headers"
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
	route   config.Route
	team    config.Team
	body    []byte
	headers http.Header
	limit   time.Duration
	// What the log line says.
	code     azuretiller.Code
	status   int
	server   azuretiller.InstanceID
	service  azuretiller.ServiceID
	attempts int
	// sent counts the attempts that may have reached a server; the route bounds these.
	sent   int
	alone  bool
	reason string
}

func newCall(g *Gateway, w http.ResponseWriter, r *http.Request) *call {
	return &call{
		gateway: g,
		writer:  w,
		request: r,
		state:   g.current(),
		started: g.common.Clock.Now(),
		id:      r.Header.Get(platform.HeaderAttempt),
	}
}

// settleIn waits a little for the first configuration or a new leader.
//
// The load it answers: all VMs are killed and come back together, or the leader is lost. Either is over within tenths of a
// second, while a refusal would cost the caller the whole request.
func (c *call) settleIn(ctx context.Context) {
	c.state = c.awaitLeader(ctx, c.state, c.started.Add(leaderWait))
}

// awaitLeader waits while a configuration and a leader are expected soon, and returns the newest state.
func (c *call) awaitLeader(ctx context.Context, state *State, until time.Time) *State {
	for !state.settled() && state.Unsettled && c.gateway.common.Clock.Now().Before(until) {
		select {
		case <-ctx.Done():
			return state
		case <-time.After(leaderPoll):
		}
		state = c.gateway.current()
	}
	return state
}

// prepare finds the route and the team, and reads the body.
func (c *call) prepare() azuretiller.Code {
	if c.state.Config == nil {
		return azuretiller.CodeNotReady
	}
	host := c.request.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	route, ok := c.state.Config.MatchHost(strings.ToLower(host), c.request.URL.Path)
	if !ok {
		return azuretiller.CodeNoRoute
	}
	c.route = route
	if code := c.identify(); code != azuretiller.CodeOK {
		return code
	}
	c.limit = c.route.Limit(c.request.Header.Get(platform.HeaderDeadline))
	c.headers = c.request.Header.Clone()
	headers.StripHopByHop(c.headers)
	for _, name := range []string{"Authorization", platform.HeaderTeam, platform.HeaderInstance, platform.HeaderDeadline} {
		c.headers.Del(name)
	}
	if c.team.ID != "" {
		c.headers.Set(platform.HeaderTeam, string(c.team.ID))
	}
	return c.readBody()
}

func (c *call) identify() azuretiller.Code {
	if c.route.Open {
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

// readBody reads the whole body first, so that it can be sent again and callers who leave are noticed.
func (c *call) readBody() azuretiller.Code {
	most := c.state.Config.Limits.Body
	if most <= 0 {
		most = defaultBody
	}
	if c.request.ContentLength > most {
		return azuretiller.CodeBodyTooLarge
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.writer, c.request.Body, most))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return azuretiller.CodeBodyTooLarge
	case err != nil:
		return azuretiller.CodeMalformed
	}
	c.body = body
	return azuretiller.CodeOK
}

func (c *call) priority() int {
	if c.team.Ranked {
		return c.team.Priority
	}
	return c.route.Priority
}

// fingerprint identifies requests that are the same but for their ids.
func (c *call) fingerprint() uint64 {
	d := xxhash.New()
	for _, part := range []string{string(c.team.ID), c.request.Method, c.request.Host, c.request.URL.RequestURI()} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(c.body)
	return d.Sum64()
}

// log writes the line and the metrics of the request.
func (c *call) log() {
	g := c.gateway
	took := g.common.Clock.Now().Sub(c.started)
	mode := "led"
	if c.alone {
		mode = "alone"
	}
	scope := g.common.Metrics.Tagged(map[string]string{"code": strconv.Itoa(int(c.code)), "mode": mode})
	scope.Counter("requests").Inc(1)
	scope.Timer("request_time").Record(took)
	version := ""
	if c.state.Config != nil {
		version = c.state.Config.Version
	}
	g.common.Log.WithFields(log.Fields{
		"request":  c.id,
		"code":     int(c.code),
		"status":   c.status,
		"route":    c.route.ID,
		"team":     c.team.ID,
		"service":  c.service,
		"server":   c.server,
		"attempts": c.attempts,
		"took":     took,
		"mode":     mode,
		"term":     c.state.Term,
		"version":  version,
		"reason":   c.reason,
	}).Info("request")
}
