package settings

import (
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/control"
)

// Settings are the settings of one VM.
type Settings struct {
	VM       azuretiller.VM
	Platform Platform
	// Secret and Token are the contents of the files that the settings name.
	Secret []byte
	Token  string
	// Seeds are the peer addresses that are asked for the state while the log cannot be read.
	Seeds   []string
	Log     Log
	Control control.Params
	// Drain is how long a VM goes on serving after it left the address answers.
	Drain time.Duration
	// Headers is the largest head of a request, in bytes.
	Headers int
}

// Platform says where the platform's log and VM list are.
type Platform struct {
	URL   string
	Token string
}

// Log says what is logged.
type Log struct {
	Level string
}

// Default returns the settings that a file overrides.
func Default() Settings {
	return Settings{
		Log:     Log{Level: "info"},
		Control: control.DefaultParams(),
		Drain:   12 * time.Second,
		Headers: 64 << 10,
	}
}
