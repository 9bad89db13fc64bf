package leader

import (
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/scheduler"
)

// leavingServer is a server that told a VM that it is about to stop.
type leavingServer struct {
	incarnation int64
	// until is when other VMs may use the server again, unless it is reported again.
	until time.Time
}

// matches reports whether a registered server is the incarnation that is leaving, or may be.
func (s leavingServer) matches(registered scheduler.Server) bool {
	return s.incarnation == 0 || registered.Incarnation <= s.incarnation
}

// receiveLeaving closes a server that told the reporting VM that it is about to stop. The report counts in any term.
func (l *Leader) receiveLeaving(now time.Time, r message.Report) []Effect {
	if !r.Leaving || r.Server == "" {
		return nil
	}
	known, ok := l.leaving[r.Server]
	if ok && r.Incarnation < known.incarnation {
		return nil
	}
	l.leaving[r.Server] = leavingServer{incarnation: r.Incarnation, until: now.Add(leavingTime)}
	if ok && r.Incarnation == known.incarnation {
		return nil
	}
	closed := LogLine{"server closed", log.Fields{"server": r.Server, "incarnation": r.Incarnation, "term": l.term}}
	return append([]Effect{closed}, l.applyServers(now)...)
}

// openServers returns the registered servers, with those that are leaving closed. A service of which no server would be left keeps them,
// for the VMs that they have not told yet.
func (l *Leader) openServers(now time.Time) map[azuretiller.ServiceID][]scheduler.Server {
	for id, s := range l.leaving {
		if !now.Before(s.until) {
			delete(l.leaving, id)
		}
	}
	registered := l.registered
	if l.inheritedUses == nil {
		registered = l.rollouts.assign(now, registered)
	}
	if len(l.leaving) == 0 {
		return registered
	}
	services := make(map[azuretiller.ServiceID][]scheduler.Server, len(registered))
	for service, servers := range registered {
		services[service] = l.withLeavingClosed(servers)
	}
	return services
}

func (l *Leader) withLeavingClosed(servers []scheduler.Server) []scheduler.Server {
	list := slices.Clone(servers)
	anyOpen := false
	for i := range list {
		leaving, ok := l.leaving[list[i].ID]
		list[i].Closed = list[i].Closed || ok && leaving.matches(list[i])
		anyOpen = anyOpen || !list[i].Closed && !list[i].Trial
	}
	if !anyOpen {
		return servers
	}
	return list
}
