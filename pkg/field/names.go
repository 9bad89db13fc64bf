package field

// The names of the fields of the settings tree.
const (
	Rate            = "rate"
	Burst           = "burst"
	AllowedServices = "allow"
	Prefix          = "prefix"
	Methods         = "methods"
	AllowAnonymous  = "open"
	Idempotent      = "idempotent"
	Timeout         = "timeout"
	MaxRetries      = "retries"
	MaxBodyBytes    = "body"
	QueueLimit      = "queue"
	EjectionFloor   = "floor"
	Slots           = "slots"
	Warmup          = "warmup"
	RetryRatio      = "budget"
	ProbePath       = "probe"
	Zone            = "zone"
	OutOfService    = "out"
	Draining        = "drain"
	Label           = "label"
	Weight          = "weight"
)

// Table returns all fields in the order of the generated documentation.
func Table() []Field {
	return []Field{
		{Rate, NonNegative, "100", 0, "requests a second that a team may send, summed over all VMs"},
		{Burst, NonNegative, "100", 0, "requests that a team may send at once, summed over all VMs"},
		{Weight, Count, "1", 1, "share of a team when teams compete for slots"},
		{AllowedServices, StringList, `["*"]`, 0, "services that a team may use; * stands for all"},
		{Prefix, Text, `""`, 0, "path prefix that a route serves; the longest match wins"},
		{Methods, StringList, `["*"]`, 0, "methods that a route serves; * stands for all"},
		{AllowAnonymous, Bool, "false", 0, "whether a route serves callers without a key"},
		{Idempotent, Text, `"method"`, 0, `"yes", "no", or "method": GET, HEAD, OPTIONS, PUT and DELETE are idempotent`},
		{Timeout, Duration, `"10s"`, 0, "time from the arrival of a request to the end of its answer's head"},
		{MaxRetries, Count, "2", 0, "further servers that an idempotent request may be sent to"},
		{RetryRatio, Ratio, "0.1", 0, "retries as a share of the requests of a service"},
		{MaxBodyBytes, Count, "16777216", 0, "largest request body in bytes"},
		{QueueLimit, Count, "64", 0, "requests that may wait for one pool"},
		{EjectionFloor, Ratio, "0.5", 0, "share of a pool's servers that ejection never goes below"},
		{Slots, Count, "3", 1, "requests that one backend server runs at once"},
		{Warmup, Duration, `"10s"`, 0, "time in which a cold backend server becomes warm under load"},
		{ProbePath, Text, `"/healthz"`, 0, "path of the backend servers' health endpoint"},
		{Zone, Text, `""`, 0, "availability zone of a backend server"},
		{Draining, Bool, "false", 0, "whether a backend server is leaving and gets no new work"},
		{OutOfService, Bool, "false", 0, "whether an availability zone is taken out"},
		{Label, Text, `""`, 0, "note for operators"},
	}
}

// Find returns the field with the given name, or false if there is none.
func Find(name string) (Field, bool) {
	for _, f := range Table() {
		if f.Name == name {
			return f, true
		}
	}
	return Field{}, false
}
