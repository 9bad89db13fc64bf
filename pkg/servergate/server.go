package servergate

import "github.com/azuretiller/azuretiller"

// Server is one incarnation of a backend server.
type Server struct {
	ID      azuretiller.InstanceID
	Service azuretiller.ServiceID
	// Incarnation is that of the server's registry entry, zero if it is unknown.
	Incarnation int64
}
