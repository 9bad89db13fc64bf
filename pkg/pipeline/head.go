package pipeline

import (
	"bufio"
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// head describes the head of a request.
type head struct {
	// framed means that the end of the request is known.
	framed bool
	// plain means that the request is a GET or HEAD request without a body and without a header line that affects the connection.
	plain bool
	// body is the size in bytes of the body, unless it is chunked.
	body    int64
	chunked bool
}

// examineHead describes a complete head. Heads that net/http could read in another way are not framed.
func examineHead(text []byte) head {
	rest := string(text[:len(text)-len("\r\n")])
	requestLine, rest, _ := strings.Cut(rest, "\r\n")
	method, target, ok := splitRequestLine(requestLine)
	if !ok {
		return head{}
	}
	h := head{framed: true, plain: method == http.MethodGet || method == http.MethodHead}
	lines, hosts, sizes := 0, 0, 0
	for rest != "" {
		var line string
		line, rest, _ = strings.Cut(rest, "\r\n")
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) || !isText(value) {
			return head{}
		}
		lines++
		value = strings.Trim(value, " \t")
		switch connectionHeader(name) {
		case "host":
			hosts++
			if !isHost(value) {
				return head{}
			}
		case "content-length":
			sizes++
			size, err := strconv.ParseUint(value, 10, 62)
			if err != nil || strings.HasPrefix(value, "+") {
				return head{}
			}
			h.body, h.plain = int64(size), false
		case "transfer-encoding":
			if h.chunked || !strings.EqualFold(value, "chunked") {
				return head{}
			}
			h.chunked, h.plain = true, false
		case "connection":
			h.plain = h.plain && strings.EqualFold(value, "keep-alive")
		case "other":
			h.plain = false
		}
	}
	if hosts != 1 || sizes > 1 || sizes > 0 && h.chunked || !strings.HasPrefix(target, "/") {
		return head{}
	}
	h.plain = h.plain && lines <= maxLines
	return h
}

// splitRequestLine returns the method and the target of an HTTP/1.1 request line.
func splitRequestLine(line string) (method, target string, ok bool) {
	line, ok = strings.CutSuffix(line, " HTTP/1.1")
	method, target, separated := strings.Cut(line, " ")
	return method, target, ok && separated && isToken(method) && isVisible(target) && method != http.MethodConnect
}

// connectionHeader returns the name in lower case if it is one of the headers that affect the framing or the connection, without an
// allocation, and otherwise an empty string.
func connectionHeader(name string) string {
	const longest = len("transfer-encoding")
	if len(name) > longest {
		return ""
	}
	var lower [longest]byte
	for i := range len(name) {
		lower[i] = name[i]
		if 'A' <= name[i] && name[i] <= 'Z' {
			lower[i] += 'a' - 'A'
		}
	}
	switch s := lower[:len(name)]; string(s) {
	case "host":
		return "host"
	case "content-length":
		return "content-length"
	case "transfer-encoding":
		return "transfer-encoding"
	case "connection":
		return "connection"
	case "expect", "upgrade", "trailer", "http2-settings", "proxy-connection", "keep-alive", "te":
		return "other"
	}
	return ""
}

// isToken reports whether s consists of the characters that net/http allows in names.
func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		isAlphanumeric := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
		if !isAlphanumeric && (c <= ' ' || c >= 0x7f || strings.IndexByte("\"(),/:;<=>?@[\\]{}", c) >= 0) {
			return false
		}
	}
	return s != ""
}

// isVisible reports whether s consists of visible ASCII characters.
func isVisible(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return true
}

// isText reports whether s contains no control characters other than tabs; a line break other than \r\n is one.
func isText(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// isHost reports whether s consists of characters of host names and addresses.
func isHost(s string) bool {
	for i := range len(s) {
		c := s[i]
		isAlphanumeric := '0' <= c && c <= '9' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
		if !isAlphanumeric && strings.IndexByte(".-_:[]", c) < 0 {
			return false
		}
	}
	return s != ""
}

// parseRequest parses the head of a plain request as net/http does.
func parseRequest(text []byte) (*http.Request, error) {
	r, err := http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(text), len(text)))
	return r, errors.Wrap(err, "parse request")
}
