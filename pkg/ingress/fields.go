package ingress

import (
	"time"

	"github.com/apex/log"
)

func logFields(c *call, elapsed time.Duration) log.Fields {
	return log.Fields{
		"request":  c.traceID,
		"team":     c.team.ID,
		"route":    c.route.ID,
		"pool":     c.pool.String(),
		"server":   c.server,
		"vm":       c.snapshot.Self.ID,
		"code":     int(c.code),
		"status":   c.status,
		"attempts": c.attempts,
		"took":     elapsed,
		"queued":   c.queueTime,
		"up":       c.handler.life.Up(c.started),
		"stopping": c.handler.life.Stopping(c.started),
		"ended":    c.ended,
		"reason":   c.reason,
	}
}
