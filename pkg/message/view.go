package message

import (
	"cmp"
	"maps"
	"slices"

	"github.com/azuretiller/azuretiller"
)

// entriesInPart is the number of members and servers in one part of a view; each takes about 65 bytes.
const entriesInPart = 250

// Split returns the parts of a view, each small enough for a datagram.
func (v View) Split() []View {
	var parts []View
	members, servers := v.Members, v.Servers
	for len(parts) == 0 || len(members)+len(servers) > 0 {
		part := v
		part.Part = len(parts)
		if part.Part > 0 {
			part.GoneMembers, part.GoneServers = nil, nil
		}
		n := min(len(members), entriesInPart)
		part.Members, members = members[:n], members[n:]
		m := min(len(servers), entriesInPart-n)
		part.Servers, servers = servers[:m], servers[m:]
		parts = append(parts, part)
	}
	for i := range parts {
		parts[i].Parts = len(parts)
	}
	return parts
}

// Join returns the whole view of parts, or false while one is missing.
func Join(parts map[int]View) (View, bool) {
	first, ok := parts[0]
	if !ok || len(parts) < first.Parts {
		return View{}, false
	}
	whole := View{
		Term: first.Term, Version: first.Version, Base: first.Base, Relay: first.Relay, GoneMembers: first.GoneMembers, GoneServers: first.GoneServers,
	}
	for i := range first.Parts {
		part, ok := parts[i]
		if !ok {
			return View{}, false
		}
		whole.Members = append(whole.Members, part.Members...)
		whole.Servers = append(whole.Servers, part.Servers...)
	}
	return whole, true
}

// Apply returns the view after a change of it.
func (v View) Apply(change View) View {
	next := View{Term: change.Term, Version: change.Version}
	next.Members = merge(v.Members, change.Members, change.GoneMembers, func(m Member) azuretiller.VMID { return m.VM })
	next.Servers = merge(v.Servers, change.Servers, change.GoneServers, func(s Server) azuretiller.InstanceID { return s.ID })
	return next
}

// Change returns what turns one view into another.
func (v View) Change(next View) View {
	change := View{Term: next.Term, Version: next.Version, Base: v.Version}
	change.Members, change.GoneMembers = differ(v.Members, next.Members, func(m Member) azuretiller.VMID { return m.VM }, func(a, b Member) bool { return a == b })
	change.Servers, change.GoneServers = differ(v.Servers, next.Servers, func(s Server) azuretiller.InstanceID { return s.ID }, func(a, b Server) bool {
		// The chance of success moves all the time and is no reason for a new view.
		a.Success = b.Success
		return a == b
	})
	return change
}

// Entries returns the number of entries of a view or a change.
func (v View) Entries() int {
	return len(v.Members) + len(v.Servers) + len(v.GoneMembers) + len(v.GoneServers)
}

func merge[T any, K cmp.Ordered](old, changed []T, gone []K, key func(T) K) []T {
	all := make(map[K]T, len(old)+len(changed))
	for _, one := range old {
		all[key(one)] = one
	}
	for _, id := range gone {
		delete(all, id)
	}
	for _, one := range changed {
		all[key(one)] = one
	}
	list := make([]T, 0, len(all))
	for _, id := range slices.Sorted(maps.Keys(all)) {
		list = append(list, all[id])
	}
	return list
}

func differ[T any, K cmp.Ordered](old, next []T, key func(T) K, same func(a, b T) bool) (changed []T, gone []K) {
	before := make(map[K]T, len(old))
	for _, one := range old {
		before[key(one)] = one
	}
	for _, one := range next {
		was, known := before[key(one)]
		if !known || !same(was, one) {
			changed = append(changed, one)
		}
		delete(before, key(one))
	}
	return changed, slices.Sorted(maps.Keys(before))
}
