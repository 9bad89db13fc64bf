package pipeline

import (
	"bytes"

	"github.com/azuretiller/azuretiller/pkg/bytebudget"
)

// endOfHead separates the head of a request from its body.
const endOfHead = "\r\n\r\n"

// framer finds the requests in the bytes of a connection. It accepts fewer forms than net/http, so that both agree on where a request ends;
// after any other form it is lost.
type framer struct {
	budget *bytebudget.Budget
	// head is the start of a head whose end has not arrived.
	head []byte
	// body is the number of bytes of the current body that have not arrived, if its size is known; otherwise chunks finds its end.
	body   int64
	chunks chunkedBody
	// lost means that the end of the current request is unknown.
	lost bool
}

// next returns how many bytes of p belong to the current request, at most up to the end of its head, and its head if it is complete. The head
// is valid until p changes.
func (f *framer) next(p []byte) (n int, head []byte) {
	if f.lost {
		return len(p), nil
	}
	if f.body > 0 {
		n = int(min(f.body, int64(len(p))))
		f.body -= int64(n)
		return n, nil
	}
	if f.chunks.state != chunkNone {
		n, ok := f.chunks.next(p)
		if !ok {
			f.lose()
			return len(p), nil
		}
		return n, nil
	}
	known := len(f.head)
	if known == 0 {
		if end := bytes.Index(p, []byte(endOfHead)); end >= 0 && end+len(endOfHead) <= maxHead {
			return end + len(endOfHead), p[:end+len(endOfHead)]
		}
	}
	added := p[:min(len(p), maxHead-known)]
	if !f.budget.Take(int64(len(added))) {
		f.lose()
		return len(p), nil
	}
	f.head = append(f.head, added...)
	from := max(0, known-len(endOfHead)+1)
	if i := bytes.Index(f.head[from:], []byte(endOfHead)); i >= 0 {
		end := from + i + len(endOfHead)
		head = f.head[:end]
		f.release()
		return end - known, head
	}
	if len(f.head) >= maxHead {
		f.lose()
		return len(p), nil
	}
	return len(added), nil
}

// isInHead reports whether a part of a head has arrived.
func (f *framer) isInHead() bool { return len(f.head) > 0 }

// isInBody reports whether a part of a body has not arrived.
func (f *framer) isInBody() bool { return f.body > 0 || f.chunks.state != chunkNone }

// startBody tells the framer what follows the head that it returned.
func (f *framer) startBody(h head) {
	switch {
	case !h.framed:
		f.lose()
	case h.chunked:
		f.chunks.state = chunkSize
	default:
		f.body = h.body
	}
}

// lose ends the examination of the connection.
func (f *framer) lose() {
	f.lost = true
	f.release()
}

func (f *framer) release() {
	f.budget.Put(int64(len(f.head)))
	f.head = nil
}
