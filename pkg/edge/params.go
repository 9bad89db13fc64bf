package edge

import (
	"github.com/azuretiller/azuretiller/pkg/leader"
	"github.com/azuretiller/azuretiller/pkg/scheduler"
	"github.com/azuretiller/azuretiller/pkg/tokenbucket"
	"github.com/azuretiller/azuretiller/platform"
)

const (
	// crossZoneCost is the placement cost of sending a request to another zone, as a fraction of the value of a successful answer.
	// Traffic between zones is billed by the byte.
	crossZoneCost = 0.03
	// crossZoneCostPerKiB is the additional cost for each 1,024 bytes of the bodies of request and answer, as a fraction of the same value.
	crossZoneCostPerKiB = 0.0035
)

// params returns the limits of the deployment for the leader.
func (e *Edge) params() leader.Params {
	b := e.processSettings.Bounds
	return leader.Params{
		Scheduler: scheduler.Params{
			RetryRatio: b.RetryRatio, RetrySlack: b.RetrySlack,
			CrossZoneCost: crossZoneCost, CrossZoneCostPerKiB: crossZoneCostPerKiB, KeepInZone: e.processSettings.KeepInZone, FavorUrgent: e.processSettings.FavorUrgent,
		},
		RateTolerance: rateTolerance(b),
		Rollout:       rolloutParams(b),
	}
}

func rateTolerance(b platform.Bounds) tokenbucket.Tolerance {
	return tokenbucket.Tolerance{Ratio: b.RateTolerance, Slack: b.RateSlack, Window: b.RateWindow}
}
