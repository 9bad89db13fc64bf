package ingress

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/forward"
	"github.com/azuretiller/azuretiller/pkg/idempotency"
	"github.com/azuretiller/azuretiller/pkg/replay"
	"github.com/azuretiller/azuretiller/pkg/snapshot"
)

// IDStore stores request IDs and their responses on several VMs, for requests that must not run twice.
type IDStore interface {
	// Reserve reserves a request ID for owner, the trace ID of the request, before dispatch. If the code is not CodeOK, the
	// request must not be dispatched; with CodeReplayed, the response to the first request with this ID is returned.
	Reserve(ctx context.Context, s *snapshot.Snapshot, key idempotency.Key, owner string, fingerprint []byte) (azuretiller.Code, idempotency.Response)
	// Finish stores the response, or removes the reservation if the request did not run.
	Finish(s *snapshot.Snapshot, key idempotency.Key, owner string, response idempotency.Response)
}

// maxRequestID is the size in bytes up to which an id is stored as it is. A UUID has 36.
const maxRequestID = 256

// requestID returns the id of a request as it is stored, which is a hash of a long one.
func requestID(sent string) azuretiller.RequestID {
	if len(sent) <= maxRequestID {
		return azuretiller.RequestID(sent)
	}
	hash := sha256.Sum256([]byte(sent))
	return azuretiller.RequestID("sha256:" + hex.EncodeToString(hash[:]))
}

// serveOnce forwards a request that is not idempotent at most once. The caller may repeat it with the same request ID.
func (c *call) serveOnce(ctx context.Context, body *replay.Body, head forward.Request) {
	key := idempotency.Key{Team: c.team.ID, ID: c.requestID}
	code, earlier := c.handler.ids.Reserve(ctx, c.snapshot, key, c.traceID, head.Fingerprint)
	switch code {
	case azuretiller.CodeOK:
	case azuretiller.CodeReplayed:
		c.replayResponse(earlier)
		return
	default:
		c.refuse(code, time.Second, "")
		return
	}
	response := idempotency.Response{Code: azuretiller.CodeHomeLost, Replayable: true}
	// forward panics to abort the caller's connection if the response is truncated or cannot be sent. In that case the
	// deferred call stores CodeHomeLost, so that a retry with the same ID learns that the request may have run.
	defer func() { c.handler.ids.Finish(c.snapshot, key, c.traceID, response) }()
	response = c.forward(ctx, body, head)
}
