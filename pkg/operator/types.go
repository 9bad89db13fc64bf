package operator

// The JSON types of the operators' API, which tillerctl also uses.
type (
	// Branch is one branch of the settings tree. Fields holds the fields that are set on the branch itself, not inherited ones;
	// each value is JSON text.
	Branch struct {
		Path   string            `json:"path"`
		Fields map[string]string `json:"fields"`
	}
	// Tree is the settings tree at a revision.
	Tree struct {
		Revision uint64   `json:"revision"`
		Branches []Branch `json:"branches"`
	}
	// EffectiveField is the effective value of one field of a branch; Source is the branch that sets it, or empty for the default.
	EffectiveField struct {
		Field  string `json:"field"`
		Value  string `json:"value"`
		Source string `json:"source"`
	}
	// Change is one step of an edit; Kind is set, unset, make or delete.
	Change struct {
		Kind  string `json:"kind"`
		Path  string `json:"path"`
		Field string `json:"field,omitempty"`
		Value string `json:"value,omitempty"`
	}
	// Edit is a list of changes to the settings tree; Base is the revision that it is based on.
	Edit struct {
		Base     uint64   `json:"base"`
		Operator string   `json:"operator"`
		Comment  string   `json:"comment"`
		Changes  []Change `json:"changes"`
	}
	// Verdict is the outcome of a record in the log, such as an edit; Reason says why it was rejected.
	Verdict struct {
		ID       string   `json:"id"`
		Kind     string   `json:"kind"`
		Offset   uint64   `json:"offset"`
		Accepted bool     `json:"accepted"`
		Reason   string   `json:"reason,omitempty"`
		Operator string   `json:"operator,omitempty"`
		Comment  string   `json:"comment,omitempty"`
		Paths    []string `json:"paths,omitempty"`
	}
	// VM is one member of the roster in the view of the VM that serves the API.
	VM struct {
		ID          string `json:"id"`
		Zone        string `json:"zone"`
		Incarnation uint64 `json:"incarnation"`
		Caller      string `json:"caller"`
		Peer        string `json:"peer"`
		Operator    string `json:"operator"`
		State       string `json:"state"`
	}
	// Server is the state of one backend server, as the VM that owns its pool sees it. Busy is the number of requests that this
	// VM runs on the server, and RemoteBusy the number that the former owner of the pool still runs on it.
	Server struct {
		Pool         string  `json:"pool"`
		Server       string  `json:"server"`
		Phase        string  `json:"phase"`
		Reason       string  `json:"reason,omitempty"`
		Busy         int     `json:"busy"`
		RemoteBusy   int     `json:"elsewhere"`
		Limit        int     `json:"limit"`
		Draining     bool    `json:"draining"`
		Cold         bool    `json:"cold"`
		Suspicion    float64 `json:"suspicion"`
		Ejections    int     `json:"ejections"`
		EjectionLeft string  `json:"out_for,omitempty"`
	}
	// Dump is the state of one VM, without keys and secrets. Millitokens holds the tokens left in each team's share on this VM.
	Dump struct {
		VM               string            `json:"vm"`
		Zone             string            `json:"zone"`
		Incarnation      uint64            `json:"incarnation"`
		Ready            bool              `json:"ready"`
		Current          bool              `json:"current"`
		Leaving          bool              `json:"leaving"`
		NextOffset       uint64            `json:"next"`
		Revision         uint64            `json:"revision"`
		RosterRevision   uint64            `json:"roster"`
		ViewAge          string            `json:"view_age"`
		Pollers          []string          `json:"pollers"`
		VMs              []VM              `json:"vms"`
		Pools            map[string]string `json:"pools"`
		Servers          []Server          `json:"servers"`
		Teams            int               `json:"teams"`
		Keys             int               `json:"keys"`
		Millitokens      map[string]int64  `json:"levels"`
		RequestIDs       int               `json:"request_ids"`
		CallerRequests   int               `json:"callers_running"`
		PoolRequests     int               `json:"pools_running"`
		PeerBytesRead    int64             `json:"peer_read_bytes"`
		PeerBytesWritten int64             `json:"peer_written_bytes"`
	}
	// ErrorBody is the body of an error response.
	ErrorBody struct {
		Error string `json:"error"`
	}
)
