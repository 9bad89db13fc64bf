package settings

import (
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/control"
)

// Settings are the settings of one VM, as opposed to the operators' settings, which all VMs share.
type Settings struct {
	VM       azuretiller.VM
	Platform Platform
	// FleetSecret is the key with which the VMs of the fleet authenticate each other, and OperatorToken is the operators'
	// token. Both are read from the files that the settings name.
	FleetSecret   []byte
	OperatorToken string
	// Seeds are the peer addresses of VMs from which this VM also fetches the state until it is ready, so that it can start
	// while the log cannot be read.
	Seeds   []string
	Log     Log
	Control control.Params
	// DrainDuration is how long a leaving VM keeps serving callers after its address was removed from the address lists, so
	// that callers with an earlier list can still reach it.
	DrainDuration time.Duration
	// GracePeriod is how long the running requests may take after that. Shortly before its end, those that still run get a response that
	// does not say whether they ran.
	GracePeriod time.Duration
	// MaxHeaderBytes is the limit on the size of a request's headers, in bytes.
	MaxHeaderBytes int
	// MemoryBytes is the memory of the VM, and Descriptors is how many of them the process may open, for the limits for clients. 0 stands for
	// the defaults of package clientlimit.
	MemoryBytes int64
	Descriptors int
}

// Platform holds the base URL of the platform's log and VM list, and the token for them.
type Platform struct {
	URL   string
	Token string
}

// Log configures logging. Level is the lowest level that is logged.
type Log struct {
	Level string
}

// Default returns the settings that apply where the settings file sets no value.
func Default() Settings {
	return Settings{
		Log:            Log{Level: "info"},
		Control:        control.DefaultParams(),
		DrainDuration:  12 * time.Second,
		GracePeriod:    5 * time.Minute,
		MaxHeaderBytes: 64 << 10,
	}
}
