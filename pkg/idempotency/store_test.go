package idempotency

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/azuretiller/azuretiller"
)

// fill stores ids with finished responses and returns how many of them stay.
func fill(memory int64, count int, id string, headers http.Header) int {
	now := time.Unix(0, 0)
	s := New(now, memory)
	for i := range count {
		key := Key{Team: "team", ID: azuretiller.RequestID(id + strconv.Itoa(i))}
		s.Reserve(key, "owner", nil, now)
		s.Finish(key, "owner", Response{Code: azuretiller.CodeOK, Headers: headers}, now)
	}
	return s.Len()
}

// TestStoreBoundsAllBytes guards against ids and response headers that fill the memory.
func TestStoreBoundsAllBytes(t *testing.T) {
	const large = 15 << 10
	assert.LessOrEqual(t, fill(0, 6000, strings.Repeat("i", large), nil)*large, 64<<20)
	assert.LessOrEqual(t, fill(0, 6000, "", http.Header{"A": {strings.Repeat("h", large)}})*large, 64<<20)
	lines := http.Header{}
	for i := range 1000 {
		lines["A"+strconv.Itoa(i)] = []string{""}
	}
	assert.LessOrEqual(t, fill(0, 6000, "", lines)*1000*headerLineBytes, 64<<20)
}

// TestStoreKeepsToMemoryOfVM guards against a store that takes half of a small VM.
func TestStoreKeepsToMemoryOfVM(t *testing.T) {
	const memory = 64 << 20
	assert.Equal(t, memory/(2<<10), fill(memory, 40_000, "", nil))
	assert.LessOrEqual(t, fill(memory, 2000, strings.Repeat("i", 15<<10), nil)*15<<10, memory/4)
	assert.Equal(t, 40_000, fill(0, 40_000, "", nil))
}

// TestStoreReturnsAllBytes guards against bytes that still count after their ids were deleted.
func TestStoreReturnsAllBytes(t *testing.T) {
	now := time.Unix(0, 0)
	s := New(now, 0)
	for i := range 3 {
		key := Key{Team: "team", ID: azuretiller.RequestID(strconv.Itoa(i))}
		s.Reserve(key, "owner", []byte("f"), now)
		if i == 0 {
			s.Release(key, "owner")
			continue
		}
		s.Finish(key, "owner", Response{Code: azuretiller.CodeOK, Headers: http.Header{"A": {"b"}}, Body: []byte("c")}, now)
	}
	assert.Positive(t, s.bytes)
	s.expire(now.Add(Retention))
	assert.Zero(t, s.bytes)
	assert.Zero(t, s.Len())
}
