package replay

import (
	"bytes"
	"io"
	"os"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/azuretiller/azuretiller/pkg/bytebudget"
	"github.com/azuretiller/azuretiller/pkg/randomtest"
)

func TestMain(m *testing.M) { os.Exit(randomtest.Main(m)) }

// TestReadersReturnPrefixOfBody compares bodies with their source: whatever a reader returns is the body from its start, and it is the
// whole body if the reader ends without an error.
func TestReadersReturnPrefixOfBody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := rapid.SliceOfN(rapid.Byte(), 0, 3*chunkSize).Draw(t, "body")
		limit := rapid.IntRange(0, 4*chunkSize).Draw(t, "limit")
		size := int64(rapid.IntRange(0, 4).Draw(t, "budget") * chunkSize)
		budget := bytebudget.New(size)
		var source io.Reader = bytes.NewReader(want)
		if rapid.Bool().Draw(t, "short reads") {
			source = iotest.HalfReader(source)
		}
		cut := rapid.Bool().Draw(t, "cut short")
		if cut {
			source = io.MultiReader(source, iotest.ErrReader(io.ErrUnexpectedEOF))
		}
		body := New(source, limit, budget)
		if rapid.Bool().Draw(t, "fill") {
			_ = body.Fill()
		}
		for range rapid.IntRange(1, 4).Draw(t, "readers") {
			replayable := body.Replayable()
			reader := body.NewReader()
			var got []byte
			var err error
			for steps := rapid.IntRange(0, 50).Draw(t, "steps"); steps > 0 && err == nil; steps-- {
				p := make([]byte, rapid.IntRange(1, chunkSize).Draw(t, "read"))
				var n int
				n, err = reader.Read(p)
				got = append(got, p[:n]...)
			}
			if !bytes.HasPrefix(want, got) {
				t.Fatalf("reader returned other data than the body")
			}
			if err == io.EOF && (cut || len(got) != len(want)) {
				t.Fatalf("%d of %d bytes look like the whole body", len(got), len(want))
			}
			if !replayable && len(got) > 0 {
				t.Fatalf("a reader returned data of a body that is not replayable")
			}
		}
		body.Stop(func() {})
		if !budget.Take(size) {
			t.Fatalf("memory was not returned to the budget")
		}
	})
}

// TestBufferedBodyHasSeveralReaders checks that a request and its hedge can send the same body at the same time.
func TestBufferedBodyHasSeveralReaders(t *testing.T) {
	want := strings.Repeat("abcd", chunkSize)
	body := New(strings.NewReader(want), 1<<20, nil)
	require.NoError(t, body.Fill())
	first, second := body.NewReader(), body.NewReader()
	for _, r := range []io.Reader{first, second} {
		got, err := io.ReadAll(r)
		require.NoError(t, err)
		assert.Equal(t, want, string(got))
	}
}

// TestReplayableDoesNotWaitForSource guards against requests that cannot be tried again while an earlier attempt waits for a slow caller.
func TestReplayableDoesNotWaitForSource(t *testing.T) {
	source, caller := io.Pipe()
	started := make(chan struct{}, 1)
	body := New(io.MultiReader(readerFunc(func([]byte) (int, error) {
		started <- struct{}{}
		return 0, io.EOF
	}), source), 1<<20, nil)
	first := body.NewReader()
	done := make(chan error)
	go func() {
		_, err := first.Read(make([]byte, 1))
		done <- err
	}()
	// A reader that holds the lock, but has not begun to read the source, may be superseded.
	<-started
	assert.False(t, body.sourceMu.TryLock(), "the source is being read")
	assert.True(t, body.Replayable())
	second := body.NewReader()
	go func() { _, _ = io.WriteString(caller, "x"); _ = caller.Close() }()
	require.NoError(t, <-done, "the data is buffered, so the earlier reader may have it too")
	got, err := io.ReadAll(second)
	require.NoError(t, err)
	assert.Equal(t, "x", string(got))
}

// readerFunc is a function that implements io.Reader.
type readerFunc func(p []byte) (int, error)

// Read calls the function.
func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// TestStopInterruptsRead checks that a request can end while its body is being read.
func TestStopInterruptsRead(t *testing.T) {
	source, caller := io.Pipe()
	body := New(source, 1<<20, nil)
	reader := body.NewReader()
	done := make(chan error)
	go func() {
		_, err := reader.Read(make([]byte, 1))
		done <- err
	}()
	for body.sourceMu.TryLock() {
		body.sourceMu.Unlock()
	}
	go body.Stop(func() { _ = caller.CloseWithError(io.ErrClosedPipe) })
	require.Error(t, <-done)
	_, err := body.NewReader().Read(make([]byte, 1))
	require.Error(t, err)
}

// TestBodyBeyondBufferReleasesIt checks that a streamed body occupies no buffer.
func TestBodyBeyondBufferReleasesIt(t *testing.T) {
	budget := bytebudget.New(2 * chunkSize)
	body := New(strings.NewReader(strings.Repeat("x", 9*chunkSize)), 2*chunkSize, budget)
	require.NoError(t, body.Fill())
	assert.False(t, budget.Take(2*chunkSize))
	n, err := io.Copy(io.Discard, body.NewReader())
	require.NoError(t, err)
	assert.Equal(t, int64(9*chunkSize), n)
	assert.True(t, budget.Take(2*chunkSize))
	assert.Empty(t, body.chunks)
	_, err = body.NewReader().Read(make([]byte, 1))
	require.ErrorIs(t, err, errNotReplayable)
}
