package member

import (
	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/message"
)

// pendingView holds the received parts of a view that is still incomplete.
type pendingView struct {
	term    azuretiller.Term
	version uint64
	parts   map[int]message.View
}

// add adds a part and returns the view if it is complete. A part of a newer view replaces the parts of an older one.
func (p *pendingView) add(part message.View) (message.View, bool) {
	switch {
	case p.parts == nil, part.Term > p.term, part.Term == p.term && part.Version > p.version:
		*p = pendingView{term: part.Term, version: part.Version, parts: map[int]message.View{}}
	case part.Term != p.term, part.Version != p.version:
		return message.View{}, false
	}
	p.parts[part.Part] = part
	full, complete := message.JoinViews(p.parts)
	if complete {
		p.parts = nil
	}
	return full, complete
}
