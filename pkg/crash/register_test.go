package crash_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller/pkg/crash"
)

func TestHold(t *testing.T) {
	t.Parallel()
	const poison, innocent = crash.Fingerprint("poison"), crash.Fingerprint("innocent")
	now := time.Unix(1_700_000_000, 0)
	admit := func(r *crash.Register, f crash.Fingerprint, after time.Duration) bool {
		ok, _ := r.Admit(f, now.Add(after))
		return ok
	}
	held := func() *crash.Register {
		r := crash.New()
		require.False(t, r.Crashed(poison, "s1", now))
		require.True(t, admit(r, poison, 0), "one crash holds nothing back")
		require.True(t, r.Crashed(poison, "s2", now))
		return r
	}
	t.Run("held after two servers, others go on", func(t *testing.T) {
		t.Parallel()
		r := held()
		require.False(t, admit(r, poison, time.Second))
		require.True(t, r.Held(poison, now.Add(time.Second)))
		require.True(t, admit(r, innocent, time.Second))
	})
	t.Run("one at a time after the hold, and longer after another crash", func(t *testing.T) {
		t.Parallel()
		r := held()
		require.True(t, admit(r, poison, 21*time.Second))
		require.False(t, admit(r, poison, 21*time.Second))
		require.True(t, r.Crashed(poison, "s3", now.Add(22*time.Second)))
		require.False(t, admit(r, poison, 50*time.Second))
		require.True(t, admit(r, poison, 63*time.Second))
	})
	t.Run("a trial that gave no answer is followed by another one", func(t *testing.T) {
		t.Parallel()
		r := held()
		require.True(t, admit(r, poison, 21*time.Second))
		r.Released(poison)
		require.True(t, admit(r, poison, 22*time.Second))
	})
	t.Run("a survivor is forgotten", func(t *testing.T) {
		t.Parallel()
		r := held()
		require.True(t, admit(r, poison, 21*time.Second))
		r.Succeeded(poison)
		require.True(t, admit(r, poison, 22*time.Second))
		require.Zero(t, r.Len())
	})
}
