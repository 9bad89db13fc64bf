package idstore_test

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/idempotency"
	"github.com/azuretiller/azuretiller/pkg/idstore"
	"github.com/azuretiller/azuretiller/pkg/peers"
)

func TestCombine(t *testing.T) {
	t.Parallel()
	now := time.Now()
	uuidV7 := azuretiller.RequestID(uuid.Must(uuid.NewV7()).String())
	reserved := func(completeFor time.Duration) peers.Reservation {
		return peers.Reservation{State: idempotency.Reserved, CompleteFor: completeFor}
	}
	finished := peers.Reservation{State: idempotency.Finished, Response: idempotency.Response{Code: azuretiller.CodeOK, Replayable: true}}
	homeLost := peers.Reservation{State: idempotency.Finished, Response: idempotency.Response{Code: azuretiller.CodeHomeLost}}
	tests := []struct {
		desc         string
		reservations []peers.Reservation
		id           azuretiller.RequestID
		want         azuretiller.Code
	}{
		{"unknown to all, one store complete for the retention period", []peers.Reservation{reserved(idempotency.Retention), reserved(0)}, "opaque", azuretiller.CodeOK},
		{"stores complete for too short a time for an opaque ID", []peers.Reservation{reserved(time.Minute), reserved(time.Minute)}, "opaque", azuretiller.CodeIDUnknownAge},
		{"ID created after the stores became complete", []peers.Reservation{reserved(time.Minute), reserved(time.Minute)}, uuidV7, azuretiller.CodeOK},
		{"ID may be older than the period for which the stores are complete", []peers.Reservation{reserved(time.Second), reserved(time.Second)}, uuidV7, azuretiller.CodeIDUnknownAge},
		{"only one of three replicas responds", []peers.Reservation{reserved(idempotency.Retention)}, uuidV7, azuretiller.CodeIDStoreUnavailable},
		{"one replica has the response", []peers.Reservation{reserved(idempotency.Retention), finished}, uuidV7, azuretiller.CodeReplayed},
		{"one replica records that the request may have run", []peers.Reservation{reserved(idempotency.Retention), homeLost}, uuidV7, azuretiller.CodeHomeLost},
		{"one replica records the request as in progress", []peers.Reservation{reserved(idempotency.Retention), {State: idempotency.InProgress}}, uuidV7, azuretiller.CodeInProgress},
		{"ID reserved by another request", []peers.Reservation{{State: idempotency.FingerprintMismatch}, {State: idempotency.InProgress}}, uuidV7, azuretiller.CodeRequestIDReused},
	}
	for _, tc := range tests {
		t.Run(tc.desc, func(t *testing.T) {
			t.Parallel()
			code, _ := idstore.Combine(tc.reservations, 3, tc.id, now)
			require.Equal(t, tc.want, code)
		})
	}
}
