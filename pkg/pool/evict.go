package pool

import "github.com/azuretiller/azuretiller"

// largestBacklog returns the team with the most waiting requests relative to its weight. The arriving request counts as
// waiting.
func (p *Pool) largestBacklog(arriving Ticket) azuretiller.TeamID {
	waiting := map[azuretiller.TeamID]float64{arriving.Team: 1 / float64(max(arriving.Weight, 1))}
	for _, r := range p.requests {
		if r.server == nil {
			waiting[r.ticket.Team] += 1 / float64(max(r.ticket.Weight, 1))
		}
	}
	largest := arriving.Team
	for team, n := range waiting {
		if n > waiting[largest] || n == waiting[largest] && team < largest && largest != arriving.Team {
			largest = team
		}
	}
	return largest
}

// evict refuses the newest of a team's waiting requests that have not run yet.
func (p *Pool) evict(team azuretiller.TeamID) []Action {
	var newest *requestState
	for _, r := range p.requests {
		if r.server == nil && r.starts == 0 && r.ticket.Team == team && (newest == nil || r.ticket.ID > newest.ticket.ID) {
			newest = r
		}
	}
	if newest == nil {
		return nil
	}
	p.queue.Remove(func(r *requestState) bool { return r == newest })
	delete(p.requests, newest.ticket.ID)
	return []Action{Refuse{Ticket: newest.ticket.ID, Code: azuretiller.CodeOverloaded, RetryAfter: p.drainTime()}}
}
