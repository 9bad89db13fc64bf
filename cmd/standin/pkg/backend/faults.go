package backend

// Faults configures the faults that a backend server injects; the zero value injects none.
type Faults struct {
	// Fail is the fraction of requests that fail while the health endpoint still reports success.
	Fail float64 `json:"fail"`
	// Slow multiplies the duration of requests if it is greater than 1.
	Slow float64 `json:"slow"`
	// Route limits Fail and Slow to paths with this prefix.
	Route string `json:"route"`
	// FlapMs is the time in milliseconds after which the faults are alternately turned off and on; 0 leaves them on.
	// Unhealthy and Shed stay on.
	FlapMs int `json:"flap"`
	// Unhealthy makes the health endpoint fail.
	Unhealthy bool `json:"unwell"`
	// Shed rejects all requests and declares that they did not run.
	Shed bool `json:"shed"`
	// Drain adds a header to responses, which announces that the server is shutting down.
	Drain bool `json:"drain"`
	// Truncate closes the connection after about half of the response body.
	Truncate bool `json:"truncate"`
	// WrongRequestID returns responses that carry the request ID of another request.
	WrongRequestID bool `json:"cross"`
	// LateMs delays responses by this many milliseconds after the request has run.
	LateMs int `json:"late"`
	// Reset closes the connection without a response after the request has run.
	Reset bool `json:"reset"`
	// Poison crashes the server when the path of a request contains this text.
	Poison string `json:"poison"`
	// Cold makes the server cold once, when the faults are set.
	Cold bool `json:"cold"`
}
