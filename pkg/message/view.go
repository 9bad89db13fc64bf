package message

import (
	"cmp"
	"maps"
	"slices"

	"github.com/azuretiller/azuretiller"
)

// maxEntriesPerPart is the largest number of members and servers in one part of a view; each takes about 65 bytes.
const maxEntriesPerPart = 250

// Split divides a view into parts, each small enough for a datagram.
func (v View) Split() []View {
	var parts []View
	members, servers := v.Members, v.Servers
	for len(parts) == 0 || len(members)+len(servers) > 0 {
		part := v
		part.Part = len(parts)
		if part.Part > 0 {
			part.RemovedMembers, part.RemovedServers = nil, nil
		}
		memberCount := min(len(members), maxEntriesPerPart)
		part.Members, members = members[:memberCount], members[memberCount:]
		serverCount := min(len(servers), maxEntriesPerPart-memberCount)
		part.Servers, servers = servers[:serverCount], servers[serverCount:]
		parts = append(parts, part)
	}
	for i := range parts {
		parts[i].Parts = len(parts)
	}
	return parts
}

// JoinViews returns the complete view made of parts, or false while a part is missing.
func JoinViews(parts map[int]View) (View, bool) {
	first, ok := parts[0]
	if !ok || len(parts) < first.Parts {
		return View{}, false
	}
	joined := View{
		Term: first.Term, Version: first.Version, Base: first.Base, Relay: first.Relay, RemovedMembers: first.RemovedMembers, RemovedServers: first.RemovedServers,
	}
	for i := range first.Parts {
		part, ok := parts[i]
		if !ok {
			return View{}, false
		}
		joined.Members = append(joined.Members, part.Members...)
		joined.Servers = append(joined.Servers, part.Servers...)
	}
	return joined, true
}

// Apply returns the view with a change applied.
func (v View) Apply(change View) View {
	next := View{Term: change.Term, Version: change.Version}
	next.Members = merge(v.Members, change.Members, change.RemovedMembers, func(m Member) azuretiller.VMID { return m.VM })
	next.Servers = merge(v.Servers, change.Servers, change.RemovedServers, func(s Server) azuretiller.InstanceID { return s.ID })
	return next
}

// Diff returns the difference between a view and the next one, for Apply.
func (v View) Diff(next View) View {
	change := View{Term: next.Term, Version: next.Version, Base: v.Version}
	change.Members, change.RemovedMembers = diff(v.Members, next.Members, func(m Member) azuretiller.VMID { return m.VM }, func(a, b Member) bool { return a == b })
	change.Servers, change.RemovedServers = diff(v.Servers, next.Servers, func(s Server) azuretiller.InstanceID { return s.ID }, func(a, b Server) bool {
		// The success probability changes all the time; it alone does not justify sending an entry again.
		a.Success = b.Success
		return a == b
	})
	return change
}

// Len returns the number of entries in a view or a change, removals included.
func (v View) Len() int {
	return len(v.Members) + len(v.Servers) + len(v.RemovedMembers) + len(v.RemovedServers)
}

func merge[T any, K cmp.Ordered](old, changed []T, removed []K, key func(T) K) []T {
	all := make(map[K]T, len(old)+len(changed))
	for _, item := range old {
		all[key(item)] = item
	}
	for _, id := range removed {
		delete(all, id)
	}
	for _, item := range changed {
		all[key(item)] = item
	}
	list := make([]T, 0, len(all))
	for _, id := range slices.Sorted(maps.Keys(all)) {
		list = append(list, all[id])
	}
	return list
}

func diff[T any, K cmp.Ordered](old, next []T, key func(T) K, equal func(a, b T) bool) (changed []T, removed []K) {
	before := make(map[K]T, len(old))
	for _, item := range old {
		before[key(item)] = item
	}
	for _, item := range next {
		previous, ok := before[key(item)]
		if !ok || !equal(previous, item) {
			changed = append(changed, item)
		}
		delete(before, key(item))
	}
	return changed, slices.Sorted(maps.Keys(before))
}
