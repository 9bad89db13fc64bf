package rollout

import (
	"time"

	"github.com/azuretiller/azuretiller"
)

// Params are the bounds of the deployment.
type Params struct {
	// ExposeShare and ExposeSlack bound the attempts on target servers: ExposeShare for each request of the service, plus
	// ExposeSlack.
	ExposeShare, ExposeSlack float64
	// Rollback is the time after the 50th bad response of a bad version after which it must get no request.
	Rollback time.Duration
}

// Controller decides about the rollout of one service.
type Controller struct {
	params   Params
	order    azuretiller.RolloutOrder
	progress azuretiller.RolloutProgress
}

// New returns the controller of a rollout. If the stored progress belongs to another target version, or is empty, the rollout
// starts at now.
func New(now time.Time, p Params, order azuretiller.RolloutOrder, stored azuretiller.RolloutProgress) *Controller {
	_ = now
	return &Controller{params: p, order: order, progress: stored}
}

// CountRequest counts a request that reaches the service and is then sent to a server of either version. It is called once for
// each request, not for its further attempts.
func (c *Controller) CountRequest(now time.Time) { _ = now }

// Expose reports whether an attempt on a target server may be placed now, and takes it from the reserved exposure. It is called
// for each attempt on a target server, also after the cutover, when it always allows the attempt.
func (c *Controller) Expose(now time.Time, route azuretiller.RouteID, server azuretiller.InstanceID) bool {
	return c.MayExpose(now, route, server)
}

// MayExpose reports the same as Expose without taking the attempt from the reserved exposure.
func (c *Controller) MayExpose(now time.Time, route azuretiller.RouteID, server azuretiller.InstanceID) bool {
	_, _, _ = now, route, server
	return false
}

// Observe records the result of an attempt on a server of either version. Each attempt that Expose admitted is observed once,
// with the result Cancelled if it was not made or its VM is lost.
func (c *Controller) Observe(now time.Time, o Outcome) { _, _ = now, o }

// Tick is called several times a second with the servers of both versions, and returns what to do.
func (c *Controller) Tick(now time.Time, s Servers) []Effect {
	_, _ = now, s
	return nil
}

// Stored reports the result of a StoreProgress effect. After an error, the progress may or may not have been stored.
func (c *Controller) Stored(now time.Time, p azuretiller.RolloutProgress, err error) {
	_, _, _ = now, p, err
}

// Phase returns the current phase. It is Cutover only after the store confirmed the cutover, and Completed only after it
// confirmed the completion; Reverted takes effect before it is stored.
func (c *Controller) Phase() Phase { return Trial }

// State returns the last state that the store confirmed, which is the state that may be reported to the operator. It is zero
// until the first progress is confirmed.
func (c *Controller) State() azuretiller.RolloutState { return c.progress.State }

// Status describes the rollout for dumps and metrics.
func (c *Controller) Status(now time.Time) Status {
	_ = now
	return Status{Phase: c.Phase(), Progress: c.progress}
}
