package clientlimit

import (
	"sync"
	"time"

	"github.com/azuretiller/azuretiller/pkg/common"
)

// logInterval is the shortest time between two log lines with the same reason, so that clients cannot fill the log.
const logInterval = time.Second

// refusals counts and logs the connections that are closed because of a limit.
type refusals struct {
	common *common.Common

	mu      sync.Mutex
	pending map[string]*pending
}

// pending are the refusals with one reason since the last log line.
type pending struct {
	count    int
	loggedAt time.Time
}

// add counts a refusal. The reason must not depend on what the client sent.
func (r *refusals) add(reason string) {
	r.common.Metrics.Tagged(map[string]string{"reason": reason}).Counter("clients_refused").Inc(1)
	if count := r.due(reason); count > 0 {
		r.common.Log.WithField("reason", reason).WithField("count", count).Warn("clients refused")
	}
}

// due adds a refusal and returns how many are to be logged now.
func (r *refusals) due(reason string) (count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pending[reason]
	if p == nil {
		p = &pending{}
		r.pending[reason] = p
	}
	p.count++
	now := r.common.Clock.Now()
	if !p.loggedAt.IsZero() && now.Sub(p.loggedAt) < logInterval {
		return 0
	}
	count, p.count, p.loggedAt = p.count, 0, now
	return count
}
