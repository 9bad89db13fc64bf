package pipeline

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/azuretiller/azuretiller/pkg/bytebudget"
)

// FuzzFramer guards against any difference to net/http about where requests begin and end, and about which have a body.
func FuzzFramer(f *testing.F) {
	for _, text := range framedTexts() {
		f.Add([]byte(text), uint8(7))
	}
	f.Fuzz(func(t *testing.T, text []byte, piece uint8) { checkFraming(t, text, int(piece)) })
}

// TestFramerAgreesWithNetHTTP checks the same with random changes of valid requests.
func TestFramerAgreesWithNetHTTP(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		text := []byte(strings.Join(rapid.SliceOfN(rapid.SampledFrom(framedTexts()), 1, 5).Draw(rt, "texts"), ""))
		for range rapid.IntRange(0, 4).Draw(rt, "changes") {
			at := rapid.IntRange(0, len(text)-1).Draw(rt, "at")
			part := rapid.SampledFrom([]string{"", "\r", "\n", "\r\n", "\r\n\r\n", " ", "\t", ":", "0", "1", "a", "\x00", "\x80", "%", ",", "HTTP/1.1"}).Draw(rt, "part")
			removed := min(rapid.IntRange(0, 3).Draw(rt, "removed"), len(text)-at)
			text = append(append(append([]byte{}, text[:at]...), part...), text[at+removed:]...)
			if len(text) == 0 {
				return
			}
		}
		checkFraming(rt, text, rapid.IntRange(1, 60).Draw(rt, "piece"))
	})
}

func framedTexts() []string {
	const h = " HTTP/1.1\r\nHost: h\r\n"
	return []string{
		"GET /a?b=c" + h + "\r\n", "HEAD /a" + h + "X-Y: z\r\n\r\n", "POST /a" + h + "Content-Length: 3\r\n\r\nabc", "PUT /" + h + "Content-Length: 0\r\n\r\n",
		"POST /a" + h + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "POST /a" + h + "Transfer-Encoding: chunked\r\n\r\n0a\r\nabc\r\n0\r\n\r\n\r\n1;x=y\r\na\r\n0\r\nA: b\r\n\r\n",
		"POST /a" + h + "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n0\r\n\r\n", "GET /a HTTP/1.0\r\n\r\n",
		"POST /a" + h + "Transfer-Encoding: chunked\r\n\r\n1c\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n\r\n0\r\n\r\n", "GET /a\nHost: h\n\n", "GET /a" + h + " b\r\n\r\n",
		"GET http://h/a" + h + "\r\n", "OPTIONS *" + h + "\r\n", "CONNECT h:1" + h + "\r\n", "\r\nGET /a" + h + "\r\n", "GET /a" + h + "Content-Length: 1, 1\r\n\r\na",
		"GET /a" + h + "Connection: keep-alive\r\nAccept: */*\r\n\r\n", "GET /a" + h + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nabcde",
	}
}

// checkFraming passes a text to a framer in pieces, and compares each request that it finds with the one that the parser of net/http reads
// at the same place.
func checkFraming(t assert.TestingT, text []byte, piece int) {
	if piece == 0 {
		piece = 1
	}
	budget := bytebudget.New(1 << 20)
	f := framer{budget: budget}
	source := bufio.NewReaderSize(bytes.NewReader(text), len(text)+16)
	// position is the end of the last request that was read from source.
	position := func() int { return len(text) - source.Buffered() }
	_, _ = source.Peek(1)
	for start, total := 0, 0; start < len(text) && !f.lost; start += piece {
		for p := text[start:min(start+piece, len(text))]; len(p) > 0 && !f.lost; {
			n, headText := f.next(p)
			p = p[n:]
			total += n
			if headText == nil {
				continue
			}
			begin := total - len(headText)
			h := examineHead(headText)
			f.startBody(h)
			if f.lost {
				break
			}
			if !assert.Equal(t, string(text[begin:total]), string(headText)) || !assert.Equal(t, begin, position(), "the beginning of %q in %q", headText, text) {
				return
			}
			r, err := http.ReadRequest(source)
			if err != nil {
				// net/http refuses the request and closes the connection; nothing was served.
				_, err = parseRequest(headText)
				assert.Error(t, err, "%q", headText)
				return
			}
			if h.chunked {
				assert.Equal(t, []string{"chunked"}, r.TransferEncoding, "%q", headText)
			} else {
				assert.Equal(t, h.body, r.ContentLength, "%q", headText)
				assert.Empty(t, r.TransferEncoding, "%q", headText)
			}
			if h.plain {
				assert.False(t, r.Close, "%q", headText)
				assert.Contains(t, []string{http.MethodGet, http.MethodHead}, r.Method)
			}
			if !assert.Equal(t, total, position(), "the end of %q", headText) {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				// The body breaks off.
				return
			}
		}
	}
	f.lose()
	assert.True(t, budget.Take(1<<20), "memory is returned")
}

// TestHeadIsFoundInAnyPieces guards against connections that are served serially because a head arrived in pieces.
func TestHeadIsFoundInAnyPieces(t *testing.T) {
	text := get("/safe/1")
	for piece := 1; piece <= len(text); piece++ {
		f := framer{budget: bytebudget.New(maxHead)}
		found := 0
		for rest := strings.Repeat(text, 3); rest != ""; {
			n, head := f.next([]byte(rest[:min(piece, len(rest))]))
			rest = rest[n:]
			if head != nil {
				assert.Equal(t, text, string(head), "pieces of %d bytes", piece)
				found++
			}
		}
		assert.Equal(t, 3, found, "pieces of %d bytes", piece)
	}
}

// TestHeadsInPiecesStayWithinBudget guards against callers that fill the memory with heads that never end.
func TestHeadsInPiecesStayWithinBudget(t *testing.T) {
	budget := bytebudget.New(10)
	first, second := framer{budget: budget}, framer{budget: budget}
	first.next([]byte("GET /a"))
	second.next([]byte("GET /a"))
	assert.False(t, first.lost)
	assert.True(t, second.lost, "the connection is served serially")
	first.lose()
	assert.True(t, budget.Take(10))
}
