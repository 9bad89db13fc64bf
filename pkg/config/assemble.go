package config

import (
	"time"

	"github.com/azuretiller/azuretiller"
)

// Parts are the objects of a configuration that the caller of Assemble has already validated.
type Parts struct {
	Version  string
	Revision uint64
	Routes   []Route
	Services []Service
	Teams    []KeyedTeam
	Limits   Limits
}

// KeyedTeam is a team with its API keys in plain text.
type KeyedTeam struct {
	Team Team
	Keys []string
}

// Limits are the size limits and timeouts for the requests of callers.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes are the maximum sizes of a request's headers and body, in bytes.
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Backend is one of the services among which a route divides its requests in proportion to their weights.
type Backend struct {
	Service azuretiller.ServiceID
	Weight  int
}

// Assemble builds a configuration from its parts.
func Assemble(p Parts) *Config {
	c := &Config{
		Version:  p.Version,
		Revision: p.Revision,
		Limits:   p.Limits,
		Teams:    map[azuretiller.TeamID]Team{},
		Keys:     map[azuretiller.KeyHash]azuretiller.TeamID{},
		Services: map[azuretiller.ServiceID]Service{},
		Zones:    map[azuretiller.Zone]Zone{},
		routes:   map[string][]Route{},
		hosts:    map[string]map[string]Route{},
	}
	for _, r := range p.Routes {
		if c.hosts[r.Host] == nil {
			c.hosts[r.Host] = map[string]Route{}
		}
		c.hosts[r.Host][r.Prefix] = r
	}
	for _, s := range p.Services {
		c.Services[s.ID] = s
	}
	for _, t := range p.Teams {
		c.Teams[t.Team.ID] = t.Team
		for _, key := range t.Keys {
			c.Keys[azuretiller.HashKey(key)] = t.Team.ID
		}
	}
	return c
}

// MatchHost returns the route with the longest matching path prefix among the routes of a host.
func (c *Config) MatchHost(host, path string) (Route, bool) {
	routes := c.hosts[host]
	for p := range prefixes(path) {
		if r, ok := routes[p]; ok {
			return r, true
		}
	}
	return Route{}, false
}

// LongestTimeout returns the longest timeout of the routes that Assemble was given.
func (c *Config) LongestTimeout() time.Duration {
	longest := time.Duration(0)
	for _, routes := range c.hosts {
		for _, r := range routes {
			longest = max(longest, r.Timeout)
		}
	}
	return longest
}
