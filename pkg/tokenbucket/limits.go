package tokenbucket

import (
	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
)

// Limits returns the limits of the teams in a configuration.
func Limits(c *config.Config) map[azuretiller.TeamID]Limit {
	limits := make(map[azuretiller.TeamID]Limit, len(c.Teams))
	for id, team := range c.Teams {
		limits[id] = Limit{Rate: team.Rate, Burst: team.Burst}
	}
	return limits
}
