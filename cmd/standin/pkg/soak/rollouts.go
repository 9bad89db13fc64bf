package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/azuretiller/azuretiller/cmd/standin/pkg/backendserver"
)

const (
	// exposeShare, exposeSlack and rollback are the bounds of rolloutSettings.
	exposeShare     = 0.1
	exposeSlack     = 50.0
	rollback        = 5 * time.Second
	rolloutSettings = "exposeShare = 0.1\nexposeSlack = 50\nrollback = \"5s\"\n"
	// rolloutLimit is the time limit of the order, and statusPollInterval the time between two looks at the status.
	rolloutLimit       = 10 * time.Second
	statusPollInterval = 10 * time.Millisecond
	// rolloutPatience is the time after the time limit within which there is a final state, although faults may have kept the store away.
	rolloutPatience = 15 * time.Second
	// rolloutSeed makes the rollout independent of the other faults of a seed.
	rolloutSeed = 25
	// slowTime is the service time of a version that is slow.
	slowTime = 10 * serviceTime
)

// rolloutRun is the rollout of a run.
type rolloutRun struct {
	// servers are those of the new version, which are in the registry once registered is set.
	servers    []*backendserver.Server
	registered atomic.Bool
	// fault and serviceTime are how the new version behaves.
	fault       backendserver.Fault
	serviceTime time.Duration
	// orderedAt is the time of the order, and finalAt that at which the final state was seen.
	orderedAt, finalAt time.Time
	state              string
}

func (r *rolloutRun) bad() bool {
	return r.fault != backendserver.Healthy || r.serviceTime > serviceTime
}

// startNewVersion starts the servers of the new version, which is good or bad by the seed. It is bad on all of its servers.
func (s *Soak) startNewVersion(ctx context.Context) error {
	random := rand.New(rand.NewPCG(s.params.Seed, rolloutSeed))
	r := &s.rollout
	r.serviceTime = serviceTime
	switch random.IntN(6) {
	case 0:
		r.fault = backendserver.InternalError
	case 1:
		r.fault = backendserver.CloseConnection
	case 2:
		r.serviceTime = slowTime
	}
	for i := range s.params.Servers {
		// Responses name the server, whose id begins like those of the others.
		server, err := backendserver.New(ctx, fmt.Sprint("i-new-", i), "service", fmt.Sprint("zone-", i%2))
		if err != nil {
			return err
		}
		server.SetVersion("v2")
		server.SetFault(r.fault, r.serviceTime)
		r.servers = append(r.servers, server)
		go server.Serve(ctx)
	}
	return nil
}

// runRollout registers the servers of the new version, orders it, and waits for the final state.
func (s *Soak) runRollout(ctx context.Context) {
	r := &s.rollout
	r.registered.Store(true)
	time.Sleep(time.Second)
	order, err := json.Marshal(map[string]string{"service": "service", "targetVersion": "v2", "duration": rolloutLimit.String()})
	s.recordError(err)
	r.orderedAt = time.Now()
	s.store.Put("keyed.op", "rollout/service", order)
	for time.Since(r.orderedAt) < rolloutLimit+rolloutPatience && ctx.Err() == nil {
		var status struct{ State, TargetVersion string }
		if json.Unmarshal(s.store.Newest("keyed.status", "rollout/service"), &status) == nil && status.State != "active" {
			r.state, r.finalAt = status.State, time.Now()
			return
		}
		time.Sleep(statusPollInterval)
	}
}

// rolloutRuns returns the requests that ran on the new version and on the old one, in total and since the given time.
func (s *Soak) rolloutRuns(since time.Time) (exposed, old, exposedSince, oldSince int) {
	count := func(servers []*backendserver.Server) (total, late int) {
		for _, server := range servers {
			for _, run := range server.Runs() {
				total++
				if run.At.After(since) {
					late++
				}
			}
		}
		return total, late
	}
	exposed, exposedSince = count(s.rollout.servers)
	old, oldSince = count(s.servers)
	return exposed, old, exposedSince, oldSince
}

// checkRollout returns the violations of the bounds on rollouts.
func (s *Soak) checkRollout() []string {
	r := &s.rollout
	if !s.params.Rollouts {
		return nil
	}
	var violations []string
	exposed, _, exposedSince, oldSince := s.rolloutRuns(r.orderedAt)
	if exposed > exposedSince {
		violations = append(violations, fmt.Sprintf("%d requests ran on the new version before the order", exposed-exposedSince))
	}
	if limit := exposeShare*float64(exposedSince+oldSince) + exposeSlack; r.bad() && float64(exposedSince) > limit {
		violations = append(violations, fmt.Sprintf("%d requests ran on a bad version; at most %.0f are allowed", exposedSince, limit))
	}
	switch r.state {
	case "completed":
		if _, _, _, late := s.rolloutRuns(r.finalAt); late > 0 {
			violations = append(violations, fmt.Sprintf("%d requests ran on the old version after the rollout was completed", late))
		}
		if r.bad() {
			violations = append(violations, "a bad version was completed")
		}
	case "reverted":
		if _, _, late, _ := s.rolloutRuns(r.finalAt.Add(rollback)); late > 0 {
			violations = append(violations, fmt.Sprintf("%d requests ran on the new version after the rollout was reverted", late))
		}
	default:
		violations = append(violations, "the rollout has no final state "+rolloutPatience.String()+" after its time limit")
	}
	return violations
}

// describeRollout returns the result of the rollout for the report.
func (s *Soak) describeRollout() string {
	r := &s.rollout
	_, _, exposed, old := s.rolloutRuns(r.orderedAt)
	return fmt.Sprintf("rollout: bad %v (fault %d, service time %v), %s after %v, %d requests on the new version, %d on the old one",
		r.bad(), r.fault, r.serviceTime, r.state, r.finalAt.Sub(r.orderedAt).Round(time.Millisecond), exposed, old)
}
