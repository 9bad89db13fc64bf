package config

import (
	"iter"
	"strconv"
	"strings"
	"time"

	"github.com/azuretiller/azuretiller"
)

// Config is a compiled configuration. It is immutable.
type Config struct {
	// Version is the name that the operators gave the configuration, or empty.
	Version string
	// Revision orders configurations; a larger one is newer.
	Revision uint64
	Limits   Limits
	Teams    map[azuretiller.TeamID]Team
	Keys     map[azuretiller.KeyHash]azuretiller.TeamID
	Services map[azuretiller.ServiceID]Service
	Zones    map[azuretiller.Zone]Zone
	// routes maps each prefix to its routes, for Match; Compile fills it. Several routes may have the same prefix if they serve
	// different methods.
	routes map[string][]Route
	// hosts maps each host name to a map from prefix to route, for MatchHost; Assemble fills it.
	hosts map[string]map[string]Route
}

// Team is a group of callers with a common rate limit.
type Team struct {
	ID azuretiller.TeamID
	// Rate is the refill rate of the team's token bucket in millitokens per second, and Burst is the size of the bucket.
	Rate            azuretiller.Millitokens
	Burst           azuretiller.Millitokens
	Weight          int
	AllowedServices []string
	// Priority overrides the priority of the route if HasPriority is set; 0 is the highest priority.
	Priority    int
	HasPriority bool
}

// Zone is an availability zone.
type Zone struct {
	OutOfService bool
}

// Service is a group of backend servers with their limits and health settings.
type Service struct {
	ID            azuretiller.ServiceID
	Slots         int
	QueueLimit    int
	EjectionFloor float64
	RetryRatio    float64
	Warmup        time.Duration
	ProbePath     string
	// ColdRate is the number of requests per second that a cold server can handle; 0 means that it is unknown.
	ColdRate float64
	Servers  []Server
}

// Server is one backend server.
type Server struct {
	ID       azuretiller.ServerID
	Zone     azuretiller.Zone
	Draining bool
}

// Route maps requests to a service and defines how they are handled.
type Route struct {
	ID             azuretiller.RouteID
	Service        azuretiller.ServiceID
	Prefix         string
	Methods        []string
	AllowAnonymous bool
	// Idempotent is "yes", "no" or "method". With "method", it depends on the method of the request.
	Idempotent   string
	Timeout      time.Duration
	MaxRetries   int
	MaxBodyBytes int64
	// Host, if set, is the only host name that the route serves.
	Host string
	// Backends are the services among which the requests are divided by weight; if there are any, Service is not used.
	Backends []Backend
	// TargetLatency is the target latency: a response within this time has its full value to the caller.
	TargetLatency time.Duration
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int
	// MaxAttempts is the maximum number of backend servers that one request may be sent to.
	MaxAttempts int
}

// Match returns the route with the longest prefix of the path that serves the method.
func (c *Config) Match(method, path string) (Route, bool) {
	for p := range prefixes(path) {
		for _, r := range c.routes[p] {
			if matchesList(r.Methods, method) {
				return r, true
			}
		}
	}
	return Route{}, false
}

// prefixes yields a path and then its prefixes from the longest to the shortest.
func prefixes(path string) iter.Seq[string] {
	return func(yield func(string) bool) {
		for p := path; yield(p) && p != "/" && p != ""; {
			p = parentPrefix(p)
		}
	}
}

// parentPrefix returns the next shorter prefix of a path: the parent of "/a/b" is "/a/", and the parent of "/a/" is "/a".
func parentPrefix(p string) string {
	if strings.HasSuffix(p, "/") {
		return strings.TrimSuffix(p, "/")
	}
	return p[:strings.LastIndexByte(p, '/')+1]
}

// MayUse reports whether the team may use a service.
func (t Team) MayUse(service azuretiller.ServiceID) bool {
	return matchesList(t.AllowedServices, string(service))
}

// RequestTimeout returns the timeout of a request: the smaller of the route's timeout and callerTimeout, which is a decimal
// number of milliseconds. An invalid callerTimeout is ignored.
func (r Route) RequestTimeout(callerTimeout string) time.Duration {
	ms, err := strconv.ParseInt(callerTimeout, 10, 64)
	if err != nil || ms <= 0 {
		return r.Timeout
	}
	return min(r.Timeout, time.Duration(ms)*time.Millisecond)
}

// IsIdempotent reports whether a request of the route with the given method may be executed more than once.
func (r Route) IsIdempotent(method string) bool {
	switch r.Idempotent {
	case "yes":
		return true
	case "no":
		return false
	}
	switch method {
	case "GET", "HEAD", "OPTIONS", "PUT", "DELETE":
		return true
	}
	return false
}

// matchesList reports whether list contains name or the wildcard "*".
func matchesList(list []string, name string) bool {
	for _, item := range list {
		if item == "*" || item == name {
			return true
		}
	}
	return false
}
