package leader

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/rollout"
	"github.com/azuretiller/azuretiller/pkg/scheduler"
)

// versionRetention is how long a version without servers stays the one in use, if its service has had no order. After that, the servers of
// another version are used.
const versionRetention = time.Minute

// role is what a server is used for.
type role int

const (
	// roleOpen is the role of servers whose use nothing restricts.
	roleOpen role = iota
	// roleOld is that of servers of the version in use during a trial. VMs without a leader use them for a short time only.
	roleOld
	// roleTrial is that of servers that the leader uses as the controller admits it, and VMs without a leader not at all.
	roleTrial
	// roleNew is that of servers of the target version after the cutover. VMs without a leader do not use them until the completion.
	roleNew
	// roleClosed is that of servers of a version that no order allows.
	roleClosed
	// roleWithdrawn is that of servers whose version must get no more requests.
	roleWithdrawn
)

// serverRoles are the roles of the servers that differ from roleOpen.
type serverRoles map[azuretiller.InstanceID]role

// restrict applies a role to a server of the view.
func (roles serverRoles) restrict(s *message.Server) {
	switch roles[s.ID] {
	case roleOld:
		s.Rollout = message.WhileRecent
	case roleTrial, roleNew, roleClosed:
		s.Closed = true
	case roleWithdrawn:
		s.Closed, s.Rollout = true, message.Withdrawn
	case roleOpen:
	}
}

// roleOf returns the role of the servers of a version.
func (s *serviceRollout) roleOf(v azuretiller.Version) role {
	target, old := v == s.order.Target, v == s.inUse
	switch phase := s.phase(); {
	case phase == rollout.Completed && target, phase == rollout.Reverted && old && !target:
		return roleOpen
	case phase == rollout.Completed, phase == rollout.Reverted && target, phase == rollout.Cutover && !target:
		return roleWithdrawn
	case phase == rollout.Cutover:
		return roleNew
	case phase == rollout.Trial && target:
		return roleTrial
	case phase == 0 && s.resumed != nil && s.resumed.Cutover && old:
		return roleWithdrawn
	case old && phase != rollout.Reverted:
		return roleOld
	}
	return roleClosed
}

// assign determines the role of each server, and returns the servers for the schedulers.
func (r *rollouts) assign(now time.Time, services map[azuretiller.ServiceID][]scheduler.Server) map[azuretiller.ServiceID][]scheduler.Server {
	if !r.enabled() {
		return services
	}
	r.roles = serverRoles{}
	assigned := make(map[azuretiller.ServiceID][]scheduler.Server, len(services))
	for id, servers := range services {
		assigned[id] = r.assignService(now, id, servers)
	}
	for _, s := range r.services {
		if phase := s.phase(); phase != s.appliedPhase {
			s.appliedPhase = phase
			s.withdrawnIn = 0
		}
	}
	return assigned
}

func (r *rollouts) assignService(now time.Time, id azuretiller.ServiceID, servers []scheduler.Server) []scheduler.Server {
	roleOf := r.roleFunc(now, id, servers)
	restricted := false
	for _, server := range servers {
		if role := roleOf(server.Version); role != roleOpen {
			r.roles[server.ID] = role
			restricted = true
		}
	}
	if !restricted {
		return servers
	}
	list := slices.Clone(servers)
	for i := range list {
		switch r.roles[list[i].ID] {
		case roleTrial:
			list[i].Trial = true
			list[i].Closed = list[i].Closed || r.suspended
		case roleOld, roleNew:
			list[i].Closed = list[i].Closed || r.suspended
		case roleClosed, roleWithdrawn:
			list[i].Closed = true
		case roleOpen:
		}
	}
	return list
}

// roleFunc returns the roles of the versions of a service.
func (r *rollouts) roleFunc(now time.Time, id azuretiller.ServiceID, servers []scheduler.Server) func(azuretiller.Version) role {
	openIf := func(open func(azuretiller.Version) bool) func(azuretiller.Version) role {
		return func(v azuretiller.Version) role {
			if open(v) {
				return roleOpen
			}
			return roleClosed
		}
	}
	if s := r.services[id]; s != nil {
		if version := s.currentVersion(); version != "" {
			r.inUse[id] = versionInUse{version: version, seenAt: now}
		}
		return s.roleOf
	}
	if !r.wasReady {
		// Until the orders and the stored rollouts are known, only the versions that the former leader used are open.
		versions := map[azuretiller.Version]bool{}
		for _, server := range servers {
			if r.inherited[server.ID] {
				versions[server.Version] = true
			}
		}
		return openIf(func(v azuretiller.Version) bool { return versions[v] })
	}
	inUse := r.versionInUse(now, id, servers, "")
	return openIf(func(v azuretiller.Version) bool { return v == inUse })
}

// versionInUse returns the version in use of a service without a rollout: the known one, the one that the former leader used, or that of most
// servers, and of these the earliest started one. An excluded version that is not empty does not count for the last. The result is empty if
// there is no such version.
func (r *rollouts) versionInUse(now time.Time, id azuretiller.ServiceID, servers []scheduler.Server, excluded azuretiller.Version) azuretiller.Version {
	known, ok := r.inUse[id]
	if ok && slices.ContainsFunc(servers, func(s scheduler.Server) bool { return s.Version == known.version }) {
		known.seenAt = now
		r.inUse[id] = known
	}
	if ok && now.Sub(known.seenAt) < versionRetention {
		return known.version
	}
	inherited := slices.DeleteFunc(slices.Clone(servers), func(s scheduler.Server) bool { return !r.inherited[s.ID] })
	version, found := commonVersion(inherited, "")
	guessed := !found || ok
	if guessed {
		version, found = commonVersion(servers, excluded)
		guessed = slices.ContainsFunc(servers, func(s scheduler.Server) bool { return s.Version != version })
	}
	if !found {
		return known.version
	}
	r.inUse[id] = versionInUse{version: version, seenAt: now, guessed: guessed}
	if ok {
		r.log("version in use", log.Fields{"service": id, "version": version, "before": known.version})
	}
	return version
}

// commonVersion returns the version of most servers, and of these the one of which a server started first.
func commonVersion(servers []scheduler.Server, excluded azuretiller.Version) (azuretiller.Version, bool) {
	counts, started := map[azuretiller.Version]int{}, map[azuretiller.Version]int64{}
	for _, s := range servers {
		if excluded != "" && s.Version == excluded {
			continue
		}
		if counts[s.Version] == 0 || s.Incarnation < started[s.Version] {
			started[s.Version] = s.Incarnation
		}
		counts[s.Version]++
	}
	if len(counts) == 0 {
		return "", false
	}
	return slices.MinFunc(slices.Collect(maps.Keys(counts)), func(a, b azuretiller.Version) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(started[a], started[b]), cmp.Compare(a, b))
	}), true
}

// awaits reports whether the roles of a service's servers are not known yet.
func (r *rollouts) awaits(id azuretiller.ServiceID) bool {
	s := r.services[id]
	return !r.wasReady && s == nil || s != nil && s.phase() == 0
}

// RestrictServers closes the servers that a VM without a leader must not use, by the orders and the stored rollouts that it has read itself. The
// servers in use according to its view count if a service has had no rollout.
func RestrictServers(now time.Time, list []message.Server, p rollout.Params, services map[azuretiller.ServiceID][]scheduler.Server, orders map[azuretiller.ServiceID]azuretiller.RecordedOrder, stored *azuretiller.StoredRollouts, inView map[azuretiller.InstanceID]bool) {
	r := newRollouts(p, 0)
	r.inherited = inView
	if stored != nil {
		r.orders, r.ordersKnown = orders, true
		r.store.stored, r.store.known = *stored, true
		r.reconcile(now, services)
		r.wasReady = true
	}
	r.assign(now, services)
	for i := range list {
		r.roles.restrict(&list[i])
	}
}
