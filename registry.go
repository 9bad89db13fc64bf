package azuretiller

import (
	"context"
	"time"
)

// Registry reads and writes the records that the fleet keeps in the platform's store: the operators' settings, the backend
// servers, the leader record and the rollouts.
type Registry interface {
	// ReadSettings returns the changes at and after position from. It blocks for at most the duration wait until there is a change.
	// With the zero position it returns a page with all current settings.
	ReadSettings(ctx context.Context, from Position, wait time.Duration) (SettingsPage, error)
	// ReadServers returns the changes of the entries of backend servers, with the same parameters as ReadSettings.
	ReadServers(ctx context.Context, from Position, wait time.Duration) (ServersPage, error)
	// ReadLeader returns the newest leader record and the position at which the next one would be written.
	ReadLeader(ctx context.Context) (LeaderRecord, Position, error)
	// ClaimLeader writes a leader record at position at. It returns ErrClaimLost if another record was written there first, or
	// if the store is in another era.
	ClaimLeader(ctx context.Context, at Position, r LeaderRecord) error
	// ReadRollouts returns the progress and the status of all rollouts.
	ReadRollouts(ctx context.Context) (StoredRollouts, error)
	// StoreRollout writes the progress of a rollout at position at, with the same errors as ClaimLeader.
	StoreRollout(ctx context.Context, at Position, r RolloutRecord) error
	// ReportRollout writes the status of a service's rollout for the operator at position at, with the same errors as ClaimLeader.
	ReportRollout(ctx context.Context, at Position, service ServiceID, s RolloutStatus) error
}

// SettingsPage is the result of one read of the operators' settings.
type SettingsPage struct {
	// Complete means that the page contains all settings; a setting that is missing from it does not exist.
	Complete bool
	Changes  []SettingsChange
	Next     Position
}

// SettingsChange is one change of the operators' settings: a new configuration, a change of the order for a rollout, or a zone that is
// taken out of service or put back.
type SettingsChange struct {
	// Config is the complete configuration in the platform's format, or empty if the change concerns something else.
	Config []byte
	// Rollout, if set, is a change of the order for a service.
	Rollout *RolloutChange
	// Zone, if set, is taken out of service if ZoneOutOfService is true and put back otherwise.
	Zone             Zone
	ZoneOutOfService bool
}

// ServersPage is the result of one read of the entries of backend servers.
type ServersPage struct {
	// Complete means that the page contains all backend servers; a server that is missing from it does not exist.
	Complete bool
	Changes  []ServerChange
	Next     Position
}

// ServerChange is one change of the entry of a backend server.
type ServerChange struct {
	ID InstanceID
	// Removed means that the entry was removed or is invalid; Server is then empty.
	Removed bool
	// Invalid says why the entry names no server that can be used; it is nil for other entries.
	Invalid error
	Server  BackendServer
}

// LeaderRecord names the VM that is the leader in a term.
type LeaderRecord struct {
	Term Term
	VM   VMID
	// Address is the host:port at which the leader receives the fleet's datagrams.
	Address string
	// Rates are the shares of the teams' rates that the VMs hold.
	Rates RateLedger
}
