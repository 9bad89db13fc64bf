//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// bodyAfter is when a slow consumer sends the body of an upload, counted from the head.
const bodyAfter = 3 * time.Second

// leftover sends uploads from slow consumers on kept connections, each followed by a read on the same connection. The key of the uploads is taken
// away before.
func leftover(rec *record, trouble bool) (int, error) {
	routes := []map[string]any{route("uploads", "/uploads/", "unsafe", "8000ms"), route("reads", "/reads/", "safe", "3000ms")}
	before := []map[string]any{team("yard", key), team("former", key+"-2", revoked)}
	f, err := newFleet(rec, 3, 4, before, routes)
	defer f.stop()
	if err != nil {
		return failed, err
	}
	if trouble {
		f.configure([]map[string]any{team("yard", key), team("former", key+"-2")}, routes)
		time.Sleep(4 * time.Second)
	}
	// One upload is a file of JSON lines; the other is a saved HTTP request, as in the capture of a browser.
	bodies := map[string]string{
		"lines":   strings.Repeat(`{"truss":"T-114","pieces":12}`+"\n", 10),
		"capture": requestHead("GET", "/saved/page", "saved-1", "none", time.Second, 0),
	}
	wrong := 0
	for name, body := range bodies {
		n, err := uploadAndRead(rec, f.vms[1], name, body)
		if err != nil {
			return failed, err
		}
		wrong += n
	}
	if wrong > 0 {
		fmt.Printf("broken: %d reads got the answer to something else\n", wrong)
		return broken, nil
	}
	rec.note("held: no request got an answer that belongs to another one")
	return held, nil
}

// uploadAndRead sends an upload and then a read on one connection. It returns the number of answers in place of that to the read which do not
// belong to it.
func uploadAndRead(rec *record, v *vm, name, body string) (int, error) {
	c, err := connect(v.front())
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	answers := bufio.NewReader(c)
	upload, read := "upload-"+name, "read-"+name
	rec.note("consumer sends the head of %s (POST /uploads/x, Content-Length %d, time limit 8 s) to %s", upload, len(body), v.name)
	if _, err := io.WriteString(c, requestHead("POST", "/uploads/x?work=10", upload, revoked, 8*time.Second, len(body))); err != nil {
		return 0, err
	}
	time.Sleep(bodyAfter)
	rec.note("consumer sends the body of %s", upload)
	if _, err := io.WriteString(c, body); err != nil {
		rec.note("the connection is closed: %v", err)
		return 0, nil
	}
	response, err := answer(rec, c, answers, upload)
	if err != nil || response.Close {
		rec.note("the connection cannot be used again")
		return 0, nil
	}
	time.Sleep(50 * time.Millisecond)
	rec.note("consumer sends %s (GET /reads/y, valid key) on the same connection", read)
	if _, err := io.WriteString(c, requestHead("GET", "/reads/y?work=10", read, key, 3*time.Second, 0)); err != nil {
		rec.note("the connection is closed: %v", err)
	}
	response, err = answer(rec, c, answers, read)
	if err != nil {
		return 0, nil
	}
	if id := response.Header.Get("X-Request-Attempt-Id"); id != read {
		rec.note("BROKEN: in place of the answer to %s the consumer got %d with the id %q, which answers the body of %s", read, response.StatusCode, id, upload)
		return 1, nil
	}
	return 0, nil
}

// answer reads the next answer on a connection.
func answer(rec *record, c *consumer, from *bufio.Reader, to string) (*http.Response, error) {
	_ = c.SetReadDeadline(time.Now().Add(4 * time.Second))
	response, err := http.ReadResponse(from, nil)
	if err != nil {
		rec.note("consumer waits for the answer to %s and gets none: %v", to, err)
		return nil, err
	}
	body, err := io.ReadAll(response.Body)
	rec.note("consumer waits for the answer to %s and gets %s, id %q, Connection %q, body %q, error %v", to, response.Status,
		response.Header.Get("X-Request-Attempt-Id"), response.Header.Get("Connection"), strings.TrimSpace(string(body)), err)
	return response, err
}
