package edge

import (
	"encoding/json"
	"net/http"
	"time"
)

// serveDump writes the state of the process as JSON.
func (e *Edge) serveDump(w http.ResponseWriter, r *http.Request) {
	answer := make(chan []byte, 1)
	e.enqueue(e.inbox, func() {
		data, err := json.MarshalIndent(e.dump(e.common.Clock.Now()), "", "  ")
		if err != nil {
			data = []byte(err.Error())
		}
		answer <- data
	})
	select {
	case data := <-answer:
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(data)
	case <-r.Context().Done():
	}
}

// dump returns the state of the process. On the leader it includes the scheduler's state of each backend server, such as its load and
// the estimated probability that it answers.
func (e *Edge) dump(now time.Time) map[string]any {
	leaderID, address := e.member.Leader()
	view := e.member.View()
	state := map[string]any{
		"vm":          e.self.ID,
		"term":        e.member.Term(),
		"leader":      leaderID,
		"address":     address,
		"leading":     e.leader != nil,
		"outoftouch":  e.member.LeaderUnreachableFor(now).String(),
		"rateshare":   e.member.SpendableShare(now),
		"revision":    e.revision(),
		"viewversion": view.Version,
		"members":     view.Members,
		"servers":     view.Servers,
	}
	if e.leader != nil {
		state["services"] = e.leader.ServiceStates(now)
		state["rates"] = e.leader.RateStates(now)
		state["rollouts"] = e.leader.RolloutStates(now)
	}
	return state
}
