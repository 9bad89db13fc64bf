package pipeline

import (
	"net/http"
	"strings"
)

// writer is the response writer of a request without a body. It keeps the connection open while responses to further requests are
// outstanding that have been passed on.
type writer struct {
	http.ResponseWriter
	conn        *conn
	wroteHeader bool
}

// WriteHeader sends the header of the response.
func (w *writer) WriteHeader(status int) {
	if status >= http.StatusOK && !w.wroteHeader {
		w.wroteHeader = true
		h := w.Header()
		if strings.EqualFold(h.Get("Connection"), "close") && !w.conn.mayClose() {
			h.Del("Connection")
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write sends a part of the body.
func (w *writer) Write(p []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the writer of net/http, for http.ResponseController.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }
