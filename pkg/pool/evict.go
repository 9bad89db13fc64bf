package pool

import "github.com/azuretiller/azuretiller"

// longestFlow returns the team with the most waiting requests for its weight, counting the one that arrives.
func (p *Pool) longestFlow(arriving Ticket) azuretiller.TeamID {
	waiting := map[azuretiller.TeamID]float64{arriving.Team: 1 / float64(max(arriving.Weight, 1))}
	for _, r := range p.requests {
		if r.server == nil {
			waiting[r.ticket.Team] += 1 / float64(max(r.ticket.Weight, 1))
		}
	}
	longest := arriving.Team
	for team, n := range waiting {
		if n > waiting[longest] || n == waiting[longest] && team < longest && longest != arriving.Team {
			longest = team
		}
	}
	return longest
}

// evict refuses the newest waiting request of a team that has not run yet.
func (p *Pool) evict(team azuretiller.TeamID) []Action {
	var newest *request
	for _, r := range p.requests {
		if r.server == nil && r.starts == 0 && r.ticket.Team == team && (newest == nil || r.ticket.ID > newest.ticket.ID) {
			newest = r
		}
	}
	if newest == nil {
		return nil
	}
	p.queue.Remove(func(r *request) bool { return r == newest })
	delete(p.requests, newest.ticket.ID)
	return []Action{Refuse{Ticket: newest.ticket.ID, Code: azuretiller.CodeOverloaded, RetryAfter: p.drainTime()}}
}
