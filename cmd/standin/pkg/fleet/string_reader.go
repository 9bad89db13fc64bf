package fleet

import (
	"io"
	"strings"
)

// stringReader returns a reader of the body, or nil for an empty string, so that the request has no body.
func stringReader(body string) io.Reader {
	if body == "" {
		return nil
	}
	return strings.NewReader(body)
}
