package idstore_test

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/idstore"
	"github.com/azuretiller/azuretiller/pkg/once"
	"github.com/azuretiller/azuretiller/pkg/peers"
)

func TestDecide(t *testing.T) {
	t.Parallel()
	now := time.Now()
	made := azuretiller.RequestID(uuid.Must(uuid.NewV7()).String())
	fresh := func(age time.Duration) peers.Reservation {
		return peers.Reservation{State: once.Reserved, Age: age}
	}
	finished := peers.Reservation{State: once.Finished, Answer: once.Answer{Code: azuretiller.CodeOK, Kept: true}}
	lost := peers.Reservation{State: once.Finished, Answer: once.Answer{Code: azuretiller.CodeHomeLost}}
	tests := []struct {
		desc string
		got  []peers.Reservation
		id   azuretiller.RequestID
		want azuretiller.Code
	}{
		{"known to nobody, old enough", []peers.Reservation{fresh(once.Window), fresh(0)}, "opaque", azuretiller.CodeOK},
		{"all too young for an opaque id", []peers.Reservation{fresh(time.Minute), fresh(time.Minute)}, "opaque", azuretiller.CodeIDUnknownAge},
		{"young, but the id is younger", []peers.Reservation{fresh(time.Minute), fresh(time.Minute)}, made, azuretiller.CodeOK},
		{"the id may be older than all", []peers.Reservation{fresh(time.Second), fresh(time.Second)}, made, azuretiller.CodeIDUnknownAge},
		{"only one of three answers", []peers.Reservation{fresh(once.Window)}, made, azuretiller.CodeIDStoreUnavailable},
		{"one knows the answer", []peers.Reservation{fresh(once.Window), finished}, made, azuretiller.CodeReplayed},
		{"one knows that it may have run", []peers.Reservation{fresh(once.Window), lost}, made, azuretiller.CodeHomeLost},
		{"one sees it running", []peers.Reservation{fresh(once.Window), {State: once.InProgress}}, made, azuretiller.CodeInProgress},
		{"another request has the id", []peers.Reservation{{State: once.Different}, {State: once.InProgress}}, made, azuretiller.CodeRequestIDReused},
	}
	for _, tc := range tests {
		t.Run(tc.desc, func(t *testing.T) {
			t.Parallel()
			code, _ := idstore.Decide(tc.got, 3, tc.id, now)
			require.Equal(t, tc.want, code)
		})
	}
}
