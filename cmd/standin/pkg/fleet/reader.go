package fleet

import (
	"io"
	"strings"
)

// stringReader returns no reader for an empty text, so that the request has no body.
func stringReader(text string) io.Reader {
	if text == "" {
		return nil
	}
	return strings.NewReader(text)
}
