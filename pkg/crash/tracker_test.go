package crash_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller/pkg/crash"
)

func TestCrashingRequestIsHeldBack(t *testing.T) {
	t.Parallel()
	const crashing, harmless = crash.Fingerprint("poison"), crash.Fingerprint("innocent")
	now := time.Unix(1_700_000_000, 0)
	admit := func(tracker *crash.Tracker, f crash.Fingerprint, after time.Duration) bool {
		ok, _ := tracker.Admit(f, now.Add(after))
		return ok
	}
	newHeld := func() *crash.Tracker {
		tracker := crash.New()
		require.False(t, tracker.RecordCrash(crashing, "s1", now))
		require.True(t, admit(tracker, crashing, 0), "a request is not held back after one crash")
		require.True(t, tracker.RecordCrash(crashing, "s2", now))
		return tracker
	}
	t.Run("a request that crashed two servers is held back and others are admitted", func(t *testing.T) {
		t.Parallel()
		tracker := newHeld()
		require.False(t, admit(tracker, crashing, time.Second))
		require.True(t, tracker.IsHeld(crashing, now.Add(time.Second)))
		require.True(t, admit(tracker, harmless, time.Second))
	})
	t.Run("one trial after the hold, and a longer hold after another crash", func(t *testing.T) {
		t.Parallel()
		tracker := newHeld()
		require.True(t, admit(tracker, crashing, 21*time.Second))
		require.False(t, admit(tracker, crashing, 21*time.Second))
		require.True(t, tracker.RecordCrash(crashing, "s3", now.Add(22*time.Second)))
		require.False(t, admit(tracker, crashing, 50*time.Second))
		require.True(t, admit(tracker, crashing, 63*time.Second))
	})
	t.Run("a trial without success or crash is followed by another trial", func(t *testing.T) {
		t.Parallel()
		tracker := newHeld()
		require.True(t, admit(tracker, crashing, 21*time.Second))
		tracker.EndTrial(crashing)
		require.True(t, admit(tracker, crashing, 22*time.Second))
	})
	t.Run("success removes the entry", func(t *testing.T) {
		t.Parallel()
		tracker := newHeld()
		require.True(t, admit(tracker, crashing, 21*time.Second))
		tracker.RecordSuccess(crashing)
		require.True(t, admit(tracker, crashing, 22*time.Second))
		require.Zero(t, tracker.Len())
	})
}
