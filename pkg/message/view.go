package message

import (
	"cmp"
	"maps"
	"slices"

	"github.com/azuretiller/azuretiller"
)

const (
	// maxEntriesPerPart is the largest number of members and servers in one part of a view; each takes about 65 bytes.
	maxEntriesPerPart = 250
	// maxPartBytes bounds the size of one part of a view, so that it fits a datagram also if the names are long.
	maxPartBytes = 48 << 10
	// entryOverhead is the largest size in bytes of a member or a server without its texts, and idOverhead that of a removed id.
	entryOverhead = 42
	idOverhead    = 4
)

// Split divides a view into parts, each small enough for a datagram.
func (v View) Split() []View {
	s := splitter{header: v}
	s.header.Members, s.header.Servers, s.header.RemovedMembers, s.header.RemovedServers = nil, nil, nil, nil
	s.start()
	for _, id := range v.RemovedMembers {
		part := s.reserve(len(id) + idOverhead)
		part.RemovedMembers = append(part.RemovedMembers, id)
	}
	for _, id := range v.RemovedServers {
		part := s.reserve(len(id) + idOverhead)
		part.RemovedServers = append(part.RemovedServers, id)
	}
	for _, m := range v.Members {
		part := s.reserve(entryOverhead + len(m.VM) + len(m.Zone) + len(m.Callers) + len(m.Peer))
		part.Members = append(part.Members, m)
	}
	for _, server := range v.Servers {
		part := s.reserve(entryOverhead + len(server.ID) + len(server.Service) + len(server.Address) + len(server.Zone))
		part.Servers = append(part.Servers, server)
	}
	for i := range s.parts {
		s.parts[i].Parts = len(s.parts)
	}
	return s.parts
}

// splitter divides the entries of a view among parts.
type splitter struct {
	// header is a part without entries.
	header View
	parts  []View
	// bytes is the size of the newest part.
	bytes int
}

func (s *splitter) start() {
	s.header.Part = len(s.parts)
	s.parts = append(s.parts, s.header)
	s.bytes = 0
}

// reserve returns the part for the next entry, which has the given size in bytes.
func (s *splitter) reserve(size int) *View {
	newest := &s.parts[len(s.parts)-1]
	if len(newest.Members)+len(newest.Servers) >= maxEntriesPerPart || s.bytes > 0 && s.bytes+size > maxPartBytes {
		s.start()
	}
	s.bytes += size
	return &s.parts[len(s.parts)-1]
}

// JoinViews returns the complete view made of parts, or false while a part is missing.
func JoinViews(parts map[int]View) (View, bool) {
	first, ok := parts[0]
	if !ok || len(parts) < first.Parts {
		return View{}, false
	}
	joined := View{Term: first.Term, Version: first.Version, Base: first.Base, Relay: first.Relay}
	for i := range first.Parts {
		part, ok := parts[i]
		if !ok {
			return View{}, false
		}
		joined.Members = append(joined.Members, part.Members...)
		joined.Servers = append(joined.Servers, part.Servers...)
		joined.RemovedMembers = append(joined.RemovedMembers, part.RemovedMembers...)
		joined.RemovedServers = append(joined.RemovedServers, part.RemovedServers...)
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
