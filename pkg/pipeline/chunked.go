package pipeline

// maxSizeDigits is the number of digits of the largest accepted size of a chunk.
const maxSizeDigits = 8

// chunkState says which part of a chunked body follows.
type chunkState int

const (
	chunkNone chunkState = iota
	chunkSize
	// chunkSizeEnd is the line feed behind the size.
	chunkSizeEnd
	// chunkDataEnd and chunkDataFeed are the end of the line behind the data of a chunk.
	chunkDataEnd
	chunkDataFeed
	// chunkLastEnd and chunkLastFeed are the empty line behind the last chunk.
	chunkLastEnd
	chunkLastFeed
)

// chunkedBody finds the end of a chunked body without extensions and trailers.
type chunkedBody struct {
	state  chunkState
	digits int
	// size is the size of the current chunk, and left the number of bytes of its data that have not arrived.
	size, left int64
}

// next returns how many bytes of p belong to the body. It reports false for a body in another form.
func (c *chunkedBody) next(p []byte) (n int, ok bool) {
	for n < len(p) && c.state != chunkNone {
		if c.left > 0 {
			k := min(c.left, int64(len(p)-n))
			n += int(k)
			c.left -= k
			continue
		}
		if !c.accept(p[n]) {
			return n, false
		}
		n++
	}
	return n, true
}

// accept examines a byte that is not data.
func (c *chunkedBody) accept(b byte) bool {
	want := byte('\n')
	next := chunkNone
	switch c.state {
	case chunkSize:
		if digit, ok := hexDigit(b); ok && c.digits < maxSizeDigits {
			c.size = c.size<<4 | digit
			c.digits++
			return true
		}
		if c.digits == 0 {
			return false
		}
		want, next = '\r', chunkSizeEnd
	case chunkSizeEnd:
		next = chunkDataEnd
		if c.size == 0 {
			next = chunkLastEnd
		}
		c.left, c.size, c.digits = c.size, 0, 0
	case chunkDataEnd:
		want, next = '\r', chunkDataFeed
	case chunkDataFeed:
		next = chunkSize
	case chunkLastEnd:
		want, next = '\r', chunkLastFeed
	}
	c.state = next
	return b == want
}

func hexDigit(b byte) (int64, bool) {
	switch {
	case '0' <= b && b <= '9':
		return int64(b - '0'), true
	case 'a' <= b && b <= 'f':
		return int64(b-'a') + 10, true
	case 'A' <= b && b <= 'F':
		return int64(b-'A') + 10, true
	}
	return 0, false
}
