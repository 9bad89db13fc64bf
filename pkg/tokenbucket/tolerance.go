package tokenbucket

import (
	"time"

	"github.com/azuretiller/azuretiller"
)

// Tolerance is how far a team may exceed its limit within a window: by the fraction Ratio of what the limit allows there, and by Slack
// requests in addition.
type Tolerance struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Of returns by how many millitokens a team with the given limit may exceed it within a window.
func (t Tolerance) Of(l Limit) float64 {
	allowed := float64(l.Rate)*t.Window.Seconds() + float64(l.Burst)
	return t.Ratio*allowed + t.Slack*float64(azuretiller.TokenCost)
}
