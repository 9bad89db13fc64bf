package demo

import (
	"strconv"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/operator"
)

const (
	teamRate  = "60"
	teamBurst = "60"
	// floodRate is the rate limit, in requests per second, of the team that sends at five times its rate.
	floodRate        = 10
	floodBurst       = 20
	floodTeam        = "flood"
	withdrawnKeyTeam = "goner"
)

func teams() []string {
	return []string{"alder", "birch", "cedar", "doum", "elm", "fir", withdrawnKeyTeam, floodTeam}
}

func apiKeyOf(team string) string { return "key-of-" + team + "-0123456789abcdef" }

func set(path, name, value string) operator.Change {
	return operator.Change{Kind: "set", Path: path, Field: name, Value: value}
}

// initialChanges returns the changes that create the settings of the demo.
func (c *cluster) initialChanges() []operator.Change {
	changes := []operator.Change{
		set("/teams", "rate", teamRate),
		set("/teams", "burst", teamBurst),
		set("/teams/"+floodTeam, "rate", strconv.Itoa(floodRate)),
		set("/teams/"+floodTeam, "burst", strconv.Itoa(floodBurst)),
		set("/services", "timeout", `"3s"`),
		set("/services/orders/routes/status", "prefix", `"/orders/status"`),
		set("/services/orders/routes/confirm", "prefix", `"/orders/confirm"`),
		set("/services/orders/routes/confirm", "methods", `["POST"]`),
		set("/services/orders/routes/confirm", "idempotent", `"no"`),
		set("/services/packs/routes/download", "prefix", `"/packs"`),
		set("/services/packs/routes/about", "prefix", `"/packs/about"`),
		set("/services/packs/routes/about", "open", "true"),
	}
	for _, team := range teams() {
		changes = append(changes, set("/teams/"+team+"/keys/"+string(azuretiller.HashKey(apiKeyOf(team))), "label", `"demo"`))
	}
	for _, zone := range zones() {
		changes = append(changes, set("/zones/"+zone, "out", "false"))
	}
	for _, service := range services() {
		for _, server := range c.servers[service] {
			changes = append(changes, set("/services/"+service+"/servers/"+server.address, "zone", strconv.Quote(server.zone)))
		}
	}
	return changes
}
