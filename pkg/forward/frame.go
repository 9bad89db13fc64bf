package forward

import (
	"net/http"

	"github.com/azuretiller/azuretiller"
)

// Frame is a part of a body. The last frame has End set, and its Code is CodeOK only if the body is complete.
type Frame struct {
	Data     []byte
	End      bool
	Code     azuretiller.Code
	Trailers http.Header
}
