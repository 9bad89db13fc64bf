package backend

// Faults are the faults of a backend server; the zero value is a healthy one.
type Faults struct {
	// Fail is the share of real work that fails while the health endpoint goes on answering well.
	Fail float64 `json:"fail"`
	// Slow is the factor by which real work takes longer.
	Slow float64 `json:"slow"`
	// Route limits Fail and Slow to paths with this prefix.
	Route string `json:"route"`
	// Flap is the time in milliseconds after which the faults go off and on again by turns.
	Flap int `json:"flap"`
	// Unwell makes the health endpoint fail.
	Unwell bool `json:"unwell"`
	// Shed refuses all work and declares that it did not run.
	Shed bool `json:"shed"`
	// Drain makes answers say that the server is leaving.
	Drain bool `json:"drain"`
	// Truncate ends answers half-way.
	Truncate bool `json:"truncate"`
	// Cross gives the answer to another request.
	Cross bool `json:"cross"`
	// Late holds answers back for this many milliseconds after the work is done.
	Late int `json:"late"`
	// Reset breaks connections off after the work is done.
	Reset bool `json:"reset"`
	// Poison is a text in a request's path that crashes the server.
	Poison string `json:"poison"`
	// Cold makes the server cold now.
	Cold bool `json:"cold"`
}
