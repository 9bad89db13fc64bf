package config

import (
	"iter"
	"strconv"
	"strings"
	"time"

	"github.com/azuretiller/azuretiller"
)

// Config is the settings tree compiled for use; it is not changed after it is built.
type Config struct {
	// Version is the operators' name of the configuration, if it has one.
	Version string
	// Revision orders configurations; a larger one is newer.
	Revision uint64
	Limits   Limits
	Teams    map[azuretiller.TeamID]Team
	Keys     map[azuretiller.KeyHash]azuretiller.TeamID
	Services map[azuretiller.ServiceID]Service
	Zones    map[azuretiller.Zone]Zone
	// routes maps each prefix to its routes; several share one when they serve different methods.
	routes map[string][]Route
	// hosts maps each host name to its routes by prefix.
	hosts map[string]map[string]Route
}

// Team is a customer with its rate.
type Team struct {
	ID azuretiller.TeamID
	// Rate is in millitokens a second.
	Rate   azuretiller.Millitokens
	Burst  azuretiller.Millitokens
	Weight int
	Allow  []string
	// Priority, if Ranked is set, goes before that of the route; 0 is the highest.
	Priority int
	Ranked   bool
}

// Zone is an availability zone.
type Zone struct {
	Out bool
}

// Service is a group of backend servers with the rules for them.
type Service struct {
	ID     azuretiller.ServiceID
	Slots  int
	Queue  int
	Floor  float64
	Budget float64
	Warmup time.Duration
	Probe  string
	// ColdRate is the requests a second that a cold server bears; 0 means that it is not known.
	ColdRate float64
	Servers  []Server
}

// Server is one backend server.
type Server struct {
	ID    azuretiller.ServerID
	Zone  azuretiller.Zone
	Drain bool
}

// Route maps requests to a service and says how to treat them.
type Route struct {
	ID         azuretiller.RouteID
	Service    azuretiller.ServiceID
	Prefix     string
	Methods    []string
	Open       bool
	Idempotent string
	Timeout    time.Duration
	Retries    int
	Body       int64
	// Host, if set, is the only host name that the route serves.
	Host string
	// Backends, if any, share the requests by weight in place of Service.
	Backends []Backend
	// Objective is the time within which an answer is worth most to its caller.
	Objective time.Duration
	// Priority ranks the route's requests; 0 is the highest.
	Priority int
	// Attempts is the number of backend servers that one request may be sent to.
	Attempts int
}

// Match returns the route with the longest prefix that serves a path and method.
func (c *Config) Match(method, path string) (Route, bool) {
	for p := range prefixes(path) {
		for _, r := range c.routes[p] {
			if listed(r.Methods, method) {
				return r, true
			}
		}
	}
	return Route{}, false
}

// prefixes yields a path and its prefixes, the longest first.
func prefixes(path string) iter.Seq[string] {
	return func(yield func(string) bool) {
		for p := path; yield(p) && p != "/" && p != ""; {
			p = shorter(p)
		}
	}
}

// shorter drops the last element of a path prefix; "/a/" comes before "/a".
func shorter(p string) string {
	if strings.HasSuffix(p, "/") {
		return strings.TrimSuffix(p, "/")
	}
	return p[:strings.LastIndexByte(p, '/')+1]
}

// MayUse reports whether the team may use a service.
func (t Team) MayUse(service azuretiller.ServiceID) bool {
	return listed(t.Allow, string(service))
}

// Limit returns the time limit of a request: the route's, or the caller's, in milliseconds as text, when that is shorter.
func (r Route) Limit(callers string) time.Duration {
	ms, err := strconv.ParseInt(callers, 10, 64)
	if err != nil || ms <= 0 {
		return r.Timeout
	}
	return min(r.Timeout, time.Duration(ms)*time.Millisecond)
}

// IsIdempotent reports whether a request of the route with a method may run more than once.
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

func listed(list []string, name string) bool {
	for _, item := range list {
		if item == "*" || item == name {
			return true
		}
	}
	return false
}
