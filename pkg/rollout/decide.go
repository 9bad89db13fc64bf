package rollout

import (
	"math"
	"slices"
	"time"

	"github.com/azuretiller/azuretiller"
)

// Tick is called several times a second with the servers of both versions, and returns what to do.
func (c *Controller) Tick(now time.Time, s Servers) []Effect {
	switch c.phase {
	case Trial:
		c.prepare(now, s)
		c.decideTrial(now, s)
		c.overseeExposure(now, s)
	case Cutover:
		c.prepare(now, s)
		c.decideCutover(now, s)
	}
	var effects []Effect
	if p, ok := c.nextWrite(now); ok {
		c.writing = true
		effects = append(effects, StoreProgress{Progress: p})
	}
	for _, line := range c.logs {
		effects = append(effects, line)
	}
	c.logs = nil
	return effects
}

// prepare brings the evidence up to date.
func (c *Controller) prepare(now time.Time, s Servers) {
	old := map[azuretiller.InstanceID]bool{}
	for _, server := range s.Old {
		old[server.ID] = true
	}
	c.reference.removeServers(old)
	c.evidence.removeOld(old)
	if len(s.Old) > 0 && c.phase == Trial {
		c.reference.refresh(now)
	}
	c.evidence.advance(now)
	c.judge(now)
	c.logOdds = c.evidence.logOdds()
	if now.Sub(c.runningAt) >= runningInterval && now.Sub(c.created) >= referenceWarmup {
		c.runningAt = now
		running := c.evidence.clone()
		c.inFlight.outstanding(now, c.weigh(running))
		c.runningLogOdds = running.logOdds()
		switch {
		case c.runningLogOdds < cutoverBadLogOdds:
			c.suspectSince = time.Time{}
		case c.suspectSince.IsZero():
			c.suspectSince = now
		}
	}
	if c.inherited > 0 {
		c.logOdds, c.runningLogOdds = c.storedLogOdds, c.storedLogOdds
	}
	c.exposure.cutoverAt = c.cutoverAt()
}

// cutoverAt returns the time of the cutover. It leaves time for the last requests on old servers. It no longer changes once
// it has come, as a long attempt that ends afterwards would otherwise turn a good version into a late one.
func (c *Controller) cutoverAt() time.Time {
	if !c.cutoverDue.IsZero() {
		return c.cutoverDue
	}
	return c.deadline.Add(-cutoverMargin - c.drainTime())
}

func (c *Controller) drainTime() time.Duration {
	return min(maxDrain, max(minDrain, c.reference.longest, c.reference.longestBefore))
}

// overseeExposure updates the servers in focus and pauses the exposure after too many bad responses.
func (c *Controller) overseeExposure(now time.Time, s Servers) {
	paused := !c.badSince.IsZero() && now.Sub(c.badSince) > c.params.Rollback-rollbackMargin && max(c.logOdds, c.runningLogOdds) > trustedLogOdds
	if paused != c.paused {
		c.paused = paused
		c.log("rollout exposure", map[string]any{"paused": paused, "bad": c.bad, "logOdds": c.logOdds})
	}
	c.exposure.suspicious = max(c.logOdds, c.runningLogOdds) > suspicionLogOdds
	slots := 0
	for _, server := range s.Target {
		slots += max(1, server.Slots)
	}
	c.exposure.slots = slots / max(1, len(s.Target))
	visitSize := c.exposure.visitSize()
	available := c.exposure.available(now)
	c.focus.setAvailable(available, visitSize)
	// Further servers take the attempts that a slow or hanging server does not.
	backlog := max(0, available/visitSize-1)
	visits := visitsFor(c.exposure.rate(now), c.exposure.slots, c.reference.meanDuration()) + backlog
	c.focus.update(now, s.Target, visits, visitSize)
}

// decideTrial decides on the cutover or on the end of the trial.
func (c *Controller) decideTrial(now time.Time, s Servers) {
	cutoverAt := c.cutoverAt()
	if c.cutoverDue.IsZero() && !now.Before(cutoverAt) {
		c.cutoverDue = cutoverAt
	}
	latest := c.deadline.Add(-cutoverMargin - minDrain)
	if extended := cutoverAt.Add(2 * cutoverExtension); extended.After(latest) {
		latest = extended
	}
	switch {
	case max(c.logOdds, c.runningLogOdds) >= badLogOdds:
		c.revert("the target version is bad")
	case c.wantCutover:
		if now.After(c.deadline.Add(-completionGrace)) {
			c.revert("the cutover could not be stored in time")
		}
	case now.Before(cutoverAt):
	case now.After(latest):
		c.revert("no verdict in time")
	case c.good(s, goodLogOdds) && c.evidence.sufficient(c.focus.count()):
		c.startCutover()
	case now.Before(cutoverAt.Add(cutoverExtension)):
	case c.good(s, lateGoodLogOdds):
		c.startCutover()
	}
}

// decideCutover decides on the completion. A version that turns bad now is still reverted as long as no completion may have been
// stored.
func (c *Controller) decideCutover(now time.Time, s Servers) {
	if c.wantState == azuretiller.RolloutCompleted {
		return
	}
	confirmed := !c.suspectSince.IsZero() && now.Sub(c.suspectSince) >= runningConfirmation
	if c.logOdds >= cutoverBadLogOdds || confirmed {
		c.revert("the target version is bad after the cutover")
		return
	}
	if s.OldInUse || len(s.Target) == 0 {
		return
	}
	last := !now.Before(c.deadline.Add(-completionGrace))
	switch {
	case last && c.runningLogOdds > completionLogOdds:
		c.revert("the target version is probably bad")
	case last || max(c.logOdds, c.runningLogOdds) < goodLogOdds:
		c.wantState = azuretiller.RolloutCompleted
		c.logVerdict("rollout completion")
	}
}

// good reports whether there is enough evidence that the version is good. The attempts that run are taken into account, since
// the responses of a version that is slow or hangs come late.
func (c *Controller) good(s Servers, threshold float64) bool {
	sufficient := c.evidence.sufficient(c.focus.count()) || c.trusted
	if !c.badSince.IsZero() {
		threshold = min(threshold, trustedLogOdds)
	}
	return sufficient && len(s.Target) > 0 && max(c.logOdds, c.runningLogOdds) <= threshold
}

func (c *Controller) startCutover() {
	c.wantCutover = true
	c.logVerdict("rollout cutover")
}

func (c *Controller) revert(reason string) {
	c.phase, c.wantState, c.reason = Reverted, azuretiller.RolloutReverted, reason
	c.logVerdict("rollout reverted")
}

func (c *Controller) logVerdict(name string) {
	fields := map[string]any{
		"logOdds": c.logOdds, "responses": c.evidence.responses(), "servers": c.evidence.servers(), "bad": c.bad,
		"exposed": c.exposure.used, "requests": c.exposure.requests,
	}
	if c.reason != "" {
		fields["reason"] = c.reason
	}
	c.log(name, fields)
}

func (c *Controller) log(name string, fields map[string]any) {
	fields["service"], fields["target"] = c.order.Service, c.order.Target
	c.logs = append(c.logs, LogLine{Name: name, Fields: fields})
}

// nextWrite returns the progress to store now, if any. One write is under way at a time.
func (c *Controller) nextWrite(now time.Time) (azuretiller.RolloutProgress, bool) {
	if c.writing || now.Before(c.retryAt) || c.state.Final() {
		return azuretiller.RolloutProgress{}, false
	}
	mark, due := c.exposure.confirmed, c.state != c.wantState || c.cutover != c.wantCutover
	if c.phase == Trial {
		if next, ok := c.exposure.nextBlock(now); ok {
			mark, due = next, true
			c.exposure.attempted = next
		}
	}
	if !due {
		return azuretiller.RolloutProgress{}, false
	}
	return c.snapshot(now, max(mark, c.exposure.attempted)), true
}

// snapshot returns the progress to store with a high-water mark of the exposure. A part of the attempts without a result and of
// those that are reserved counts as bad, since a successor does not learn their results.
func (c *Controller) snapshot(now time.Time, mark int) azuretiller.RolloutProgress {
	unknown := c.inFlight.running()
	if c.phase == Trial {
		unknown += max(0, mark-c.exposure.used)
	}
	badShare := min(1, unknownBadShare+float64(c.bad)/float64(max(1, c.exposure.placed)))
	return azuretiller.RolloutProgress{
		Target: c.order.Target, State: c.wantState, Started: c.started, Reserved: mark, Requests: c.exposure.requests,
		Bad: c.bad + int(math.Ceil(float64(unknown)*badShare)), Cutover: c.wantCutover, Elapsed: now.Sub(c.started), LogOdds: c.logOdds,
		Attempts: slices.Clone(c.history),
	}
}

// Stored reports the result of a StoreProgress effect. After an error, the progress may or may not have been stored.
func (c *Controller) Stored(now time.Time, p azuretiller.RolloutProgress, err error) {
	c.writing = false
	if err != nil {
		c.retryAt = now.Add(storeRetry)
		return
	}
	c.exposure.confirmed = max(c.exposure.confirmed, p.Reserved)
	c.state = p.State
	c.cutover = p.Cutover
	switch {
	case p.State == azuretiller.RolloutCompleted:
		c.phase = Completed
	case p.Cutover && c.phase == Trial:
		c.phase = Cutover
	}
}
