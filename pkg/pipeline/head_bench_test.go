package pipeline

import "testing"

// BenchmarkExamineHead measures what the listener adds to each request that does not follow another.
func BenchmarkExamineHead(b *testing.B) {
	text := []byte("GET /reads/17?x=1 HTTP/1.1\r\nHost: gateway.example\r\nUser-Agent: caller/1.0\r\nAuthorization: Bearer key-of-team-a\r\n" +
		"X-Id: 01234567-89ab-cdef-0123-456789abcdef\r\nX-Time: 2500\r\nAccept-Encoding: gzip\r\n\r\n")
	b.ReportAllocs()
	for b.Loop() {
		if h := examineHead(text); !h.plain {
			b.Fatal("the request is plain")
		}
	}
}
