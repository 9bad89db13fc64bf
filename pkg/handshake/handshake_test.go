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
		desc                     string
		dialSecret, acceptSecret string
		ok                       bool
	}{
		{"same secret", "0123456789abcdef", "0123456789abcdef", true},
		{"different secrets", "0123456789abcdef", "fedcba9876543210", false},
		{"dialer without secret", "", "0123456789abcdef", false},
	}
	for _, tc := range tests {
		t.Run(tc.desc, func(t *testing.T) {
			t.Parallel()
			dialConn, acceptConn := net.Pipe()
			t.Cleanup(func() { _ = dialConn.Close() })
			acceptResult := make(chan error, 1)
			go func() {
				_, err := handshake.New([]byte(tc.acceptSecret), azuretiller.VM{ID: "b"}).Accept(acceptConn)
				if err != nil {
					_ = acceptConn.Close()
				}
				acceptResult <- err
			}()
			id, err := handshake.New([]byte(tc.dialSecret), azuretiller.VM{ID: "a"}).Dial(dialConn)
			if err != nil {
				_ = dialConn.Close()
			}
			acceptErr := <-acceptResult
			if tc.ok {
				require.NoError(t, err)
				require.NoError(t, acceptErr)
				require.Equal(t, azuretiller.VMID("b"), id)
				return
			}
			require.ErrorIs(t, err, handshake.ErrRefused)
			require.Error(t, acceptErr)
		})
	}
}
