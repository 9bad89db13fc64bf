package entry

import (
	"context"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/exchange"
	"github.com/azuretiller/azuretiller/pkg/once"
	"github.com/azuretiller/azuretiller/pkg/replay"
	"github.com/azuretiller/azuretiller/pkg/snapshot"
)

// IDStore remembers request ids on several VMs.
type IDStore interface {
	// Reserve reserves an id before dispatch; any code but CodeOK means that the request must not be dispatched,
	// and with CodeReplayed comes the first answer.
	Reserve(ctx context.Context, s *snapshot.Snapshot, key once.Key, owner string, fingerprint []byte) (azuretiller.Code, once.Answer)
	// Finish keeps the answer, or forgets the id when the request did not run.
	Finish(s *snapshot.Snapshot, key once.Key, owner string, answer once.Answer)
}

// serveOnce runs a request that may run only once and whose id lets the caller send it again.
func (c *call) serveOnce(ctx context.Context, body *replay.Body, head exchange.Request) {
	key := once.Key{Team: c.team.ID, ID: c.id}
	code, earlier := c.handler.ids.Reserve(ctx, c.snapshot, key, c.trace, head.Fingerprint)
	switch code {
	case azuretiller.CodeOK:
	case azuretiller.CodeReplayed:
		c.replayAnswer(earlier)
		return
	default:
		c.refuse(code, time.Second, "")
		return
	}
	answer := once.Answer{Code: azuretiller.CodeHomeLost, Kept: true}
	// Also when the caller's connection is aborted, what is known is kept for the next time it asks.
	defer func() { c.handler.ids.Finish(c.snapshot, key, c.trace, answer) }()
	answer = c.forward(ctx, body, head)
}
