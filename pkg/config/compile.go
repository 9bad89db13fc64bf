package config

import (
	"encoding/json"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/field"
	"github.com/azuretiller/azuretiller/pkg/tree"
)

// The path elements that have a fixed meaning in the settings tree.
const (
	teamsBranch    = "teams"
	servicesBranch = "services"
	zonesBranch    = "zones"
	keysBranch     = "keys"
	routesBranch   = "routes"
	serversBranch  = "servers"
)

const keyHashLength = 64

// Compile validates a complete settings tree and compiles it. The error names the first invalid branch and field.
func Compile(t *tree.Tree) (*Config, error) {
	c := &compiler{
		tree:     t,
		parents:  map[string]bool{},
		defaults: map[string]string{},
		decoded:  map[string]any{},
		config: &Config{
			Teams:    map[azuretiller.TeamID]Team{},
			Keys:     map[azuretiller.KeyHash]azuretiller.TeamID{},
			Services: map[azuretiller.ServiceID]Service{},
			Zones:    map[azuretiller.Zone]Zone{},
			routes:   map[string][]Route{},
		},
	}
	for _, f := range field.Table() {
		c.defaults[f.Name] = f.Default
	}
	if err := c.run(); err != nil {
		return nil, err
	}
	return c.config, nil
}

// compiler holds the intermediate results of Compile.
type compiler struct {
	tree   *tree.Tree
	config *Config
	// defaults maps the name of each field to the JSON text of its default.
	defaults map[string]string
	// decoded caches values by their JSON text.
	decoded map[string]any
	// parents contains the paths of all branches that have a child branch other than "keys". Below /teams these are groups of
	// teams.
	parents map[string]bool
}

func (c *compiler) run() error {
	paths := c.tree.Paths()
	for _, path := range paths {
		if tree.Base(path) != keysBranch {
			c.parents[tree.Parent(path)] = true
		}
	}
	for _, path := range paths {
		if err := c.compileBranch(path); err != nil {
			return errors.Wrapf(err, "branch %s", path)
		}
	}
	return c.checkServers()
}

func (c *compiler) compileBranch(path string) error {
	if path == "/" {
		return nil
	}
	elements := strings.Split(path[1:], "/")
	parent := ""
	if len(elements) > 1 {
		parent = elements[len(elements)-2]
	}
	switch elements[0] {
	case teamsBranch:
		return c.compileTeam(path, elements, parent)
	case servicesBranch:
		return c.compileService(path, elements, parent)
	case zonesBranch:
		return c.compileZone(path, elements)
	default:
		return errors.Newf("the first element must be %s, %s or %s", teamsBranch, servicesBranch, zonesBranch)
	}
}

func (c *compiler) compileTeam(path string, elements []string, parent string) error {
	last := elements[len(elements)-1]
	switch {
	case len(elements) == 1 || last == keysBranch:
		return nil
	case parent == keysBranch:
		return c.compileKey(path, last)
	case c.parents[path]:
		return nil
	}
	id := azuretiller.TeamID(last)
	if _, ok := c.config.Teams[id]; ok {
		return errors.Newf("a second team is named %s", id)
	}
	c.config.Teams[id] = Team{
		ID:              id,
		Rate:            c.millitokens(path, field.Rate),
		Burst:           c.millitokens(path, field.Burst),
		Weight:          c.count(path, field.Weight),
		AllowedServices: c.stringList(path, field.AllowedServices),
	}
	return nil
}

func (c *compiler) compileKey(path, last string) error {
	if len(last) != keyHashLength || strings.Trim(last, "0123456789abcdef") != "" {
		return errors.New("a key is named by the 64 lower-case hexadecimal digits of its SHA-256")
	}
	owner := tree.Parent(tree.Parent(path))
	if c.parents[owner] {
		return errors.New("keys belong to a team, not to a group of teams")
	}
	hash := azuretiller.KeyHash(last)
	if other, ok := c.config.Keys[hash]; ok {
		return errors.Newf("the key is granted to team %s as well", other)
	}
	c.config.Keys[hash] = azuretiller.TeamID(tree.Base(owner))
	return nil
}

func (c *compiler) compileZone(path string, elements []string) error {
	if len(elements) == 1 {
		return nil
	}
	if len(elements) > 2 {
		return errors.New("a zone has no branches below it")
	}
	c.config.Zones[azuretiller.Zone(elements[1])] = Zone{OutOfService: c.bool(path, field.OutOfService)}
	return nil
}

func (c *compiler) compileService(path string, elements []string, parent string) error {
	last := elements[len(elements)-1]
	switch {
	case len(elements) == 1 || last == routesBranch || last == serversBranch:
		return nil
	case parent == routesBranch:
		return c.compileRoute(path, last)
	case parent == serversBranch:
		return c.compileServer(path, last)
	case !c.tree.Has(path+"/"+routesBranch) && !c.tree.Has(path+"/"+serversBranch):
		return nil
	}
	id := azuretiller.ServiceID(last)
	if _, ok := c.config.Services[id]; ok {
		return errors.Newf("a second service is named %s", id)
	}
	c.config.Services[id] = Service{
		ID:            id,
		Slots:         c.count(path, field.Slots),
		QueueLimit:    c.count(path, field.QueueLimit),
		EjectionFloor: c.number(path, field.EjectionFloor),
		RetryRatio:    c.number(path, field.RetryRatio),
		Warmup:        c.duration(path, field.Warmup),
		ProbePath:     c.text(path, field.ProbePath),
	}
	return nil
}

func (c *compiler) compileRoute(path, last string) error {
	service := azuretiller.ServiceID(tree.Base(tree.Parent(tree.Parent(path))))
	r := Route{
		ID:             azuretiller.RouteID(string(service) + "/" + last),
		Service:        service,
		Prefix:         c.text(path, field.Prefix),
		Methods:        c.stringList(path, field.Methods),
		AllowAnonymous: c.bool(path, field.AllowAnonymous),
		Idempotent:     c.text(path, field.Idempotent),
		Timeout:        c.duration(path, field.Timeout),
		MaxRetries:     c.count(path, field.MaxRetries),
		MaxBodyBytes:   int64(c.count(path, field.MaxBodyBytes)),
	}
	if !strings.HasPrefix(r.Prefix, "/") {
		return errors.Newf("field %s: must begin with /, not %q", field.Prefix, r.Prefix)
	}
	if !slices.Contains([]string{"yes", "no", "method"}, r.Idempotent) {
		return errors.Newf(`field %s: must be "yes", "no" or "method", not %q`, field.Idempotent, r.Idempotent)
	}
	if r.Timeout <= 0 {
		return errors.Newf("field %s: must be longer than 0s", field.Timeout)
	}
	for _, other := range c.config.routes[r.Prefix] {
		if methodsOverlap(other.Methods, r.Methods) {
			return errors.Newf("route %s serves the same prefix and method", other.ID)
		}
	}
	c.config.routes[r.Prefix] = append(c.config.routes[r.Prefix], r)
	return nil
}

func methodsOverlap(a, b []string) bool {
	return slices.ContainsFunc(a, func(m string) bool { return m == "*" || matchesList(b, m) }) || slices.Contains(b, "*")
}

func (c *compiler) compileServer(path, last string) error {
	if _, _, err := net.SplitHostPort(last); err != nil {
		return errors.Newf("a backend server is named host:port, not %q", last)
	}
	id := azuretiller.ServiceID(tree.Base(tree.Parent(tree.Parent(path))))
	zone := azuretiller.Zone(c.text(path, field.Zone))
	if zone == "" {
		return errors.Newf("field %s: a backend server needs its zone", field.Zone)
	}
	service := c.config.Services[id]
	service.Servers = append(service.Servers, Server{
		ID:       azuretiller.ServerID(last),
		Zone:     zone,
		Draining: c.bool(path, field.Draining),
	})
	c.config.Services[id] = service
	return nil
}

func (c *compiler) checkServers() error {
	owners := map[azuretiller.ServerID]azuretiller.ServiceID{}
	for _, service := range c.config.Services {
		for _, server := range service.Servers {
			if other, ok := owners[server.ID]; ok {
				return errors.Newf("backend server %s belongs to the services %s and %s", server.ID, min(other, service.ID), max(other, service.ID))
			}
			owners[server.ID] = service.ID
		}
	}
	return nil
}

// value returns the effective value of a field, decoded as type T. Decoded values are cached by their JSON text, because most
// branches have the same few values.
func value[T any](c *compiler, path, name string) T {
	raw, _, ok := c.tree.NearestValue(path, name)
	if !ok {
		raw = c.defaults[name]
	}
	if cached, ok := c.decoded[raw].(T); ok {
		return cached
	}
	var v T
	// The error is ignored because values are validated when they are set.
	_ = json.Unmarshal([]byte(raw), &v)
	c.decoded[raw] = v
	return v
}

func (c *compiler) text(path, name string) string { return value[string](c, path, name) }

func (c *compiler) stringList(path, name string) []string { return value[[]string](c, path, name) }

func (c *compiler) bool(path, name string) bool { return value[bool](c, path, name) }

func (c *compiler) count(path, name string) int { return value[int](c, path, name) }

func (c *compiler) number(path, name string) float64 { return value[float64](c, path, name) }

func (c *compiler) millitokens(path, name string) azuretiller.Millitokens {
	return azuretiller.Millitokens(c.number(path, name) * float64(azuretiller.TokenCost))
}

func (c *compiler) duration(path, name string) time.Duration {
	d, err := time.ParseDuration(c.text(path, name))
	if err != nil {
		return 0
	}
	return d
}
