package message

// entriesInPart is the number of members and servers in one part of a view; each takes about 65 bytes.
const entriesInPart = 250

// Split returns the parts of a view, each small enough for a datagram.
func (v View) Split() []View {
	var parts []View
	members, servers := v.Members, v.Servers
	for len(parts) == 0 || len(members)+len(servers) > 0 {
		part := v
		part.Part = len(parts)
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
	whole := View{Term: first.Term, Version: first.Version}
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
