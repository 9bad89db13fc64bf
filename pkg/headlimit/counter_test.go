package headlimit

import (
	"bufio"
	"bytes"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/azuretiller/azuretiller/pkg/randomtest"
)

func TestMain(m *testing.M) { os.Exit(randomtest.Main(m)) }

// countWhole counts a text byte by byte with a simple rule: a line that is empty, but for one carriage return, ends a head that has started.
func countWhole(text []byte) (used, lines int, ended bool) {
	started := false
	for i, line := 0, 0; i < len(text); i++ {
		if text[i] != '\n' {
			started = started || text[i] != '\r'
			continue
		}
		lines++
		content := string(text[line:i])
		line = i + 1
		if started && (content == "" || content == "\r") {
			return i + 1, lines, true
		}
	}
	return len(text), lines, false
}

// TestAnySplitGivesTheSameCount guards against heads that escape the limits because of the way in which their bytes arrive.
func TestAnySplitGivesTheSameCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := []byte(strings.Join(rapid.SliceOf(rapid.SampledFrom([]string{"\r", "\n", "\r\n", "a", "b: c", " ", "\t", ":", "\x00"})).Draw(t, "text"), ""))
		used, lines, ended := countWhole(text)
		var c Counter
		rest, total := text, 0
		for len(rest) > 0 {
			n := rapid.IntRange(1, len(rest)).Draw(t, "n")
			total += c.Add(rest[:n])
			rest = rest[n:]
		}
		assert.Equal(t, used, total)
		assert.Equal(t, used, c.Bytes())
		assert.Equal(t, ended, c.Ended())
		assert.Equal(t, int64(used)*byteCost+int64(lines)*lineCost, c.Cost())
	})
}

// TestHeadEndsWhereRequestEnds guards against a counter that sees the end of a head earlier than net/http, so that the rest of the head is
// not counted. Before a request, net/http skips up to four carriage returns and line feeds.
func TestHeadEndsWhereRequestEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := rapid.SampledFrom([]string{"", "\r\n", "\n", "\r\r\n\n", "\r\n\r\n", "\n\r\r\n", "\r\r\r\n"}).Draw(t, "start")
		lines := rapid.SliceOf(rapid.SampledFrom([]string{"a: b\r\n", "a:\n", " folded\r\n", "\t\n", " \r\n", "\r\r\n", "b:c\r\r\n", "\r\n", "\n", "c: \r \r\n"})).Draw(t, "lines")
		text := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Join(lines, "") + "\r\n"
		reader := bufio.NewReader(strings.NewReader(text + strings.Repeat("x", 100)))
		request, err := http.ReadRequest(reader)
		if err != nil {
			// The server closes the connection.
			return
		}
		_ = request
		left := reader.Buffered()
		var c Counter
		used := c.Add([]byte(start + text + strings.Repeat("x", 100)))
		assert.True(t, c.Ended())
		assert.Equal(t, len(start)+len(text)+100-left, used, "%q", text)
	})
}

// FuzzCounter looks for bytes that are counted differently in two parts.
func FuzzCounter(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\nrest"), 7)
	f.Add([]byte("\r\r\n\nGET / HTTP/1.1\n\n"), 3)
	f.Fuzz(func(t *testing.T, text []byte, split int) {
		split = min(max(split, 0), len(text))
		var whole, parts Counter
		used := whole.Add(text)
		require.Equal(t, used, parts.Add(text[:split])+parts.Add(text[split:]))
		require.Equal(t, whole.Cost(), parts.Cost())
		require.Equal(t, whole.Ended(), parts.Ended())
		require.Equal(t, whole.lines, bytes.Count(text[:used], []byte("\n")))
	})
}
