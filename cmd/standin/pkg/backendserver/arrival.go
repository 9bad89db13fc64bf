package backendserver

import "time"

// Arrival is a request that reached the server that it names, whether the server ran it or not.
type Arrival struct {
	Attempt string
	At      time.Time
	// Incarnation is that of the server at that time.
	Incarnation int
	// AnsweredAt is when the server sent the response, zero if it sent none, and Status the response's status.
	AnsweredAt time.Time
	Status     int
	// Notice is what the response said about further requests.
	Notice Notice
}
