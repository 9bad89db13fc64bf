package fleet

import (
	"encoding/json"
	"time"

	"github.com/azuretiller/azuretiller/cmd/standin/pkg/backendserver"
)

// Order writes the order to move the service to a version within a time limit.
func (f *Fleet) Order(target string, limit time.Duration) {
	order, err := json.Marshal(map[string]string{"service": "service", "targetVersion": target, "duration": limit.String()})
	if err != nil {
		panic(err)
	}
	f.Store.Put("keyed.op", "rollout/service", order)
}

// CancelOrder deletes the order for the service.
func (f *Fleet) CancelOrder() { f.Store.Put("keyed.op", "rollout/service", nil) }

// RolloutStatus returns the state and the target version that the system reports to the operator, empty if it has reported none.
func (f *Fleet) RolloutStatus() (state, target string) {
	var status struct {
		State  string `json:"state"`
		Target string `json:"targetVersion"`
	}
	if json.Unmarshal(f.Store.Newest("keyed.status", "rollout/service"), &status) != nil {
		return "", ""
	}
	return status.State, status.Target
}

// RunsOf returns the requests that servers of a version have run.
func (f *Fleet) RunsOf(version string) []backendserver.Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	var runs []backendserver.Run
	for _, server := range f.Servers {
		if server.Version() == version {
			runs = append(runs, server.Runs()...)
		}
	}
	return runs
}
