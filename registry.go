package azuretiller

import (
	"context"
	"time"
)

// Registry is the platform's store as the fleet uses it: the operators' settings, the backend servers and the leader record.
type Registry interface {
	// ReadSettings returns the changes from an offset on; it waits for the first one. Offset 0 asks for the newest state as a whole.
	ReadSettings(ctx context.Context, from Offset, wait time.Duration) (SettingsPage, error)
	// ReadServers does the same for the entries of backend servers.
	ReadServers(ctx context.Context, from Offset, wait time.Duration) (ServersPage, error)
	// ReadLeader returns the newest leader record, and where the next one would stand. It waits for a record from an offset on;
	// offset 0 asks for the newest one at once.
	ReadLeader(ctx context.Context, from Offset, wait time.Duration) (LeaderRecord, Offset, error)
	// ClaimLeader writes a leader record if no other was written since the offset; otherwise it returns ErrClaimLost.
	ClaimLeader(ctx context.Context, at Offset, r LeaderRecord) error
}

// SettingsPage is a part of the operators' settings.
type SettingsPage struct {
	// Whole means that the page has all settings, so that what it lacks does not exist.
	Whole   bool
	Changes []SettingsChange
	Next    Offset
}

// SettingsChange is one change of the operators' settings.
type SettingsChange struct {
	// Config is the whole configuration in the platform's format, or empty.
	Config []byte
	// Zone, if set, is taken out or taken back.
	Zone Zone
	Out  bool
}

// ServersPage is a part of the registry of backend servers.
type ServersPage struct {
	// Whole means that servers that the page lacks do not exist.
	Whole   bool
	Changes []ServerChange
	Next    Offset
}

// ServerChange is one change in the registry of backend servers.
type ServerChange struct {
	ID InstanceID
	// Gone means that the entry was removed or names no usable server.
	Gone   bool
	Server BackendServer
}

// LeaderRecord names the VM that leads in a term.
type LeaderRecord struct {
	Term Term
	VM   VMID
	// Address is the host:port for datagrams of the fleet.
	Address string
}

// Term numbers the leaders of the fleet; it grows with each one.
type Term uint64
