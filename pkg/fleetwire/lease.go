package fleetwire

import (
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/fleetpb"
	"github.com/azuretiller/azuretiller/pkg/message"
)

const (
	// maxClock is the largest value of a clock that is read from a datagram.
	maxClock = 100 * 365 * 24 * time.Hour
	// maxHandOverTeams and maxHandOverTeamName bound the teams in a HandOver and the length of their names in bytes. Together they fit into a
	// datagram of 64 KB.
	maxHandOverTeams    = 450
	maxHandOverTeamName = 128
	// maxTokens is the largest number of millitokens that is read from a datagram.
	maxTokens = 1 << 50
)

// encodeClock returns the time of a clock in whole milliseconds, rounded down so that no lease gets longer.
func encodeClock(d time.Duration) uint64 { return uint64(max(d, 0) / time.Millisecond) }

func decodeClock(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(maxClock/time.Millisecond))) * time.Millisecond
}

func encodePledges(pledges []message.Pledge) []*fleetpb.Pledge {
	var list []*fleetpb.Pledge
	for _, p := range pledges {
		list = append(list, &fleetpb.Pledge{Term: uint64(p.Term), LeftMs: toMilliseconds(p.Remaining)})
	}
	return list
}

func decodePledges(list []*fleetpb.Pledge) []message.Pledge {
	var pledges []message.Pledge
	for _, p := range list {
		pledges = append(pledges, message.Pledge{Term: azuretiller.Term(p.GetTerm()), Remaining: fromMilliseconds(p.GetLeftMs())})
	}
	return pledges
}

// encodeHandOver encodes the tokens of at most maxHandOverTeams teams, so that they fit into a datagram. The others start without tokens.
func encodeHandOver(h message.HandOver) *fleetpb.HandOver {
	p := &fleetpb.HandOver{Term: uint64(h.Term)}
	for team, tokens := range h.Tokens {
		if len(p.Teams) == maxHandOverTeams {
			break
		}
		if tokens > 0 && len(team) <= maxHandOverTeamName {
			p.Teams = append(p.Teams, &fleetpb.TeamTokens{Team: string(team), Tokens: uint64(tokens)})
		}
	}
	return p
}

func decodeHandOver(p *fleetpb.HandOver) message.HandOver {
	h := message.HandOver{Term: azuretiller.Term(p.GetTerm()), Tokens: map[azuretiller.TeamID]azuretiller.Millitokens{}}
	for _, t := range p.GetTeams() {
		h.Tokens[azuretiller.TeamID(t.GetTeam())] = azuretiller.Millitokens(min(t.GetTokens(), maxTokens))
	}
	return h
}
