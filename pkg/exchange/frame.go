package exchange

import (
	"net/http"

	"github.com/azuretiller/azuretiller"
)

// Frame is a part of a body; the last frame has End set and tells by its code whether the body is whole.
type Frame struct {
	Data     []byte
	End      bool
	Code     azuretiller.Code
	Trailers http.Header
}
