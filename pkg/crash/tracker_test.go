package crash_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller/pkg/crash"
)

func TestHold(t *testing.T) {
	t.Parallel()
	const crashing, harmless = crash.Fingerprint("poison"), crash.Fingerprint("innocent")
	now := time.Unix(1_700_000_000, 0)
	admit := func(r *crash.Tracker, f crash.Fingerprint, after time.Duration) bool {
		ok, _ := r.Admit(f, now.Add(after))
		return ok
	}
	newHeld := func() *crash.Tracker {
		r := crash.New()
		require.False(t, r.RecordCrash(crashing, "s1", now))
		require.True(t, admit(r, crashing, 0), "a request is not held back after one crash")
		require.True(t, r.RecordCrash(crashing, "s2", now))
		return r
	}
	t.Run("a request that crashed two servers is held back and others are admitted", func(t *testing.T) {
		t.Parallel()
		r := newHeld()
		require.False(t, admit(r, crashing, time.Second))
		require.True(t, r.IsHeld(crashing, now.Add(time.Second)))
		require.True(t, admit(r, harmless, time.Second))
	})
	t.Run("one trial after the hold, and a longer hold after another crash", func(t *testing.T) {
		t.Parallel()
		r := newHeld()
		require.True(t, admit(r, crashing, 21*time.Second))
		require.False(t, admit(r, crashing, 21*time.Second))
		require.True(t, r.RecordCrash(crashing, "s3", now.Add(22*time.Second)))
		require.False(t, admit(r, crashing, 50*time.Second))
		require.True(t, admit(r, crashing, 63*time.Second))
	})
	t.Run("a released trial is followed by another trial", func(t *testing.T) {
		t.Parallel()
		r := newHeld()
		require.True(t, admit(r, crashing, 21*time.Second))
		r.EndTrial(crashing)
		require.True(t, admit(r, crashing, 22*time.Second))
	})
	t.Run("success removes the entry", func(t *testing.T) {
		t.Parallel()
		r := newHeld()
		require.True(t, admit(r, crashing, 21*time.Second))
		r.RecordSuccess(crashing)
		require.True(t, admit(r, crashing, 22*time.Second))
		require.Zero(t, r.Len())
	})
}
