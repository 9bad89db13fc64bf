//go:build review

package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is what a consumer sends.
type request struct {
	method, target, key, id, body string
	deadline                      time.Duration
	headers                       []string
	// host is the host name of the route, hostName if it is empty.
	host string
}

// answer is what a consumer got.
type answer struct {
	status    int
	signature string
	body      string
	err       error
	header    http.Header
	at        time.Time
}

func (a answer) String() string {
	if a.err != nil {
		return "no complete answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d, signature %q, %q", a.status, a.signature, strings.TrimSpace(a.body))
}

func (r request) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", r.method, r.target, cmp.Or(r.host, hostName), r.id, r.deadline.Milliseconds())
	if r.key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", r.key)
	}
	for _, h := range r.headers {
		b.WriteString(h + "\r\n")
	}
	if r.body != "" || r.method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	return b.String() + "\r\n" + r.body
}

// readAnswer reads one answer from a connection.
func readAnswer(c net.Conn, reader *bufio.Reader, method string, until time.Time) answer {
	_ = c.SetReadDeadline(until)
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err, at: time.Now()}
	}
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, signature: response.Header.Get("X-Response-Signature"), body: string(body), err: err, header: response.Header, at: time.Now()}
}

// send sends a request on a new connection and returns the answer.
func (f *fleet) send(v *vm, r request) answer {
	c, err := net.DialTimeout("tcp", v.address(frontPort), time.Second)
	if err != nil {
		f.logf("consumer cannot connect to edge-%d for %s", v.index, r.id)
		return answer{err: err, at: time.Now()}
	}
	defer func() { _ = c.Close() }()
	f.logf("consumer sends %s to edge-%d: %s %s %s", r.id, v.index, r.method, r.target, strings.Join(r.headers, " "))
	until := time.Now().Add(r.deadline)
	if _, err := io.WriteString(c, r.text()); err != nil {
		return answer{err: err, at: time.Now()}
	}
	a := readAnswer(c, bufio.NewReader(c), r.method, until)
	f.logf("consumer gets for %s: %v", r.id, a)
	return a
}
