package handshake_test

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/handshake"
)

func TestHandshake(t *testing.T) {
	t.Parallel()
	tests := []struct {
		desc           string
		dialer, called string
		ok             bool
	}{
		{"same secret", "0123456789abcdef", "0123456789abcdef", true},
		{"other secret", "0123456789abcdef", "fedcba9876543210", false},
		{"no secret", "", "0123456789abcdef", false},
	}
	for _, tc := range tests {
		t.Run(tc.desc, func(t *testing.T) {
			t.Parallel()
			near, far := net.Pipe()
			t.Cleanup(func() { _ = near.Close() })
			result := make(chan error, 1)
			go func() {
				_, err := handshake.New([]byte(tc.called), azuretiller.VM{ID: "b"}).Accept(far)
				if err != nil {
					_ = far.Close()
				}
				result <- err
			}()
			name, err := handshake.New([]byte(tc.dialer), azuretiller.VM{ID: "a"}).Dial(near)
			if err != nil {
				_ = near.Close()
			}
			accepted := <-result
			if tc.ok {
				require.NoError(t, err)
				require.NoError(t, accepted)
				require.Equal(t, azuretiller.VMID("b"), name)
				return
			}
			require.ErrorIs(t, err, handshake.ErrRefused)
			require.Error(t, accepted)
		})
	}
}
