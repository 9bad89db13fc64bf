package backendserver

import (
	"io"
	"net/http"
	"strings"
	"time"
)

// The faults of a backend server that sends a response without an end, besides EndlessHead and EndlessBody.
const (
	// EndlessShortHeaders sends header lines of a few bytes.
	EndlessShortHeaders Fault = LastFault + 1 + iota
	// EndlessStatusLine sends a status line without an end.
	EndlessStatusLine
	// EndlessInterimResponses sends informational (1xx) responses.
	EndlessInterimResponses
	// EndlessChunkExtension sends a chunk whose extension has no end.
	EndlessChunkExtension
	// EndlessTrailers sends trailers after a complete body.
	EndlessTrailers
	// EndlessChunks sends a body in chunks of one byte.
	EndlessChunks
	// EndlessRest goes on after a complete response.
	EndlessRest
)

// InvalidStatus sends a complete response with status 000.
const InvalidStatus = EndlessRest + 1

const (
	// endlessPart is the size in bytes of one write of an endless response.
	endlessPart = 1 << 10
	// endlessBodyStart is the size in bytes of the first write of an endless body; it is more than a VM buffers.
	endlessBodyStart = 2 << 20
	// endlessBodyInterval is the time between two later writes, so that callers can keep what they read in memory.
	endlessBodyInterval = 10 * time.Millisecond
)

// EndlessFaults returns the faults with responses that do not end.
func EndlessFaults() []Fault {
	return []Fault{
		EndlessHead, EndlessBody, EndlessShortHeaders, EndlessStatusLine, EndlessInterimResponses, EndlessChunkExtension, EndlessTrailers, EndlessChunks, EndlessRest,
	}
}

// endlessResponse is a response that does not end.
type endlessResponse struct {
	// start is sent once, and repeated until the connection is closed, with the given pauses.
	start, repeated string
	interval        time.Duration
}

// newEndlessResponse returns the response of a fault, and false if the fault has a response that ends.
func newEndlessResponse(fault Fault, attempt, id string) (endlessResponse, bool) {
	head := signedHead(http.StatusOK, attempt)
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	part := strings.Repeat("x", endlessPart)
	short := func(line string) string { return strings.Repeat(line, endlessPart/len(line)) }
	switch fault {
	case EndlessHead:
		return endlessResponse{head, "X-Endless: " + part + "\r\n", 0}, true
	case EndlessBody:
		return endlessResponse{head + "\r\n" + strings.Repeat("x", endlessBodyStart), part, endlessBodyInterval}, true
	case EndlessShortHeaders:
		return endlessResponse{head, short("a:\r\n"), 0}, true
	case EndlessStatusLine:
		return endlessResponse{"HTTP/1.1 200 ", part, 0}, true
	case EndlessInterimResponses:
		return endlessResponse{"", "HTTP/1.1 103 Early Hints\r\nLink: " + part + "\r\n\r\n", 0}, true
	case EndlessChunkExtension:
		return endlessResponse{chunked + "1;", part, 0}, true
	case EndlessTrailers:
		return endlessResponse{chunked + "1\r\nx\r\n0\r\n", short("a:\r\n"), 0}, true
	case EndlessChunks:
		return endlessResponse{chunked, short("1\r\nx\r\n"), endlessBodyInterval}, true
	case EndlessRest:
		return endlessResponse{formatResponse(Healthy, attempt, id), part, 0}, true
	}
	return endlessResponse{}, false
}

// write sends the response until the connection is closed.
func (r endlessResponse) write(w io.Writer) {
	for _, err := io.WriteString(w, r.start); err == nil; _, err = io.WriteString(w, r.repeated) {
		time.Sleep(r.interval)
	}
}
