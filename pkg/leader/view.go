package leader

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/message"
)

// sendView sends the changes of the view to one VM of each zone, which relays them within the zone. If they are not much smaller
// than the full view, it sends the full view instead. VMs that miss a view get the full one after a later heartbeat.
func (l *Leader) sendView(now time.Time) []Effect {
	l.viewVersion++
	view := l.view(now)
	change := l.sentView.Diff(view)
	if change.Len() == 0 && l.viewVersion > 1 {
		l.viewVersion--
		return nil
	}
	l.viewSentAt = now
	l.sentView = view
	l.recentViews = append(l.recentViews, viewSending{version: l.viewVersion, at: now})
	if 2*change.Len() < view.Len() && l.viewVersion > 1 {
		view = change
	}
	view.Relay = true
	effects := []Effect{LogLine{"view", log.Fields{"term": l.term, "version": l.viewVersion, "members": len(l.sentView.Members), "servers": len(l.sentView.Servers), "entries": view.Len(), "behind": l.membersBehind(now)}}}
	for _, relay := range l.relays(now) {
		effects = append(effects, sendViewParts(relay, view)...)
	}
	return effects
}

// refreshZones lets the relays of zones in which several VMs lack the newest views send their full view to the zone. Sending it to each of these
// VMs takes the leader of a large fleet many seconds, see takeResendTokens.
func (l *Leader) refreshZones(now time.Time) []Effect {
	if now.Sub(l.zonesRefreshedAt) < zoneRefreshInterval {
		return nil
	}
	l.zonesRefreshedAt = now
	behind := l.behindByZone(now)
	if len(behind) == 0 {
		return nil
	}
	var effects []Effect
	for zone, relay := range l.relays(now) {
		if behind[zone] >= zoneRefreshMin {
			effects = append(effects, sendViewParts(relay, message.View{Term: l.term, Version: l.viewVersion, Base: l.viewVersion, Relay: true})...)
		}
	}
	return effects
}

// relays returns the VM of each zone that relays views. VMs that are leaving, whose last heartbeat is old, or that lack the newest views
// come last, since they may be about to stop or unable to reach their zone, and so does this VM, which has enough to do. The others rank by their CPU capacity, which their links match: a
// complete view for a zone of a large fleet is megabytes.
func (l *Leader) relays(now time.Time) map[azuretiller.Zone]string {
	relays := map[azuretiller.Zone]string{}
	settled := l.settledViewVersion(now)
	for peer, m := range l.members {
		zone := m.heartbeat.Zone
		if chosen, ok := relays[zone]; !ok || l.compareRelays(now, settled, peer, chosen) < 0 {
			relays[zone] = peer
		}
	}
	return relays
}

// compareRelays orders members by how well they are suited as a relay, the best first.
func (l *Leader) compareRelays(now time.Time, settled uint64, a, b string) int {
	unsuited := func(m *member) int {
		if m.heartbeat.Leaving || !m.heartbeat.Ready || now.Sub(m.heartbeatAt) > maxRelaySilence {
			return 2
		}
		if m.heartbeat.ViewVersion < settled || m.heartbeat.VM == l.self {
			return 1
		}
		return 0
	}
	ma, mb := l.members[a], l.members[b]
	return cmp.Or(
		cmp.Compare(unsuited(ma), unsuited(mb)),
		cmp.Compare(mb.heartbeat.CPUPercent, ma.heartbeat.CPUPercent),
		cmp.Compare(mb.heartbeat.ViewVersion, ma.heartbeat.ViewVersion),
		cmp.Compare(a, b),
	)
}

// needsFullView reports whether a member lacks a view that it should have received by now.
//
// The time since the newest view does not matter, since changes may follow each other without a pause.
func (l *Leader) needsFullView(now time.Time, m *member) bool {
	if l.viewVersion == 0 || now.Sub(m.fullViewSentAt) <= viewResendInterval {
		return false
	}
	joining := m.heartbeat.ViewVersion == 0 && m.fullViewSentAt.IsZero()
	return joining || m.heartbeat.ViewVersion < l.settledViewVersion(now)
}

// settledViewVersion returns the newest version that was sent viewResendInterval ago or earlier, which all members should have by now.
func (l *Leader) settledViewVersion(now time.Time) uint64 {
	for len(l.recentViews) > 1 && now.Sub(l.recentViews[1].at) >= viewResendInterval {
		l.recentViews = l.recentViews[1:]
	}
	if len(l.recentViews) == 0 || now.Sub(l.recentViews[0].at) < viewResendInterval {
		return 0
	}
	return l.recentViews[0].version
}

// membersBehind returns the number of members whose heartbeats report a view older than the settled one.
func (l *Leader) membersBehind(now time.Time) int {
	sum := 0
	for _, n := range l.behindByZone(now) {
		sum += n
	}
	return sum
}

// behindByZone returns the number of these members in each zone that has any.
func (l *Leader) behindByZone(now time.Time) map[azuretiller.Zone]int {
	settled := l.settledViewVersion(now)
	behind := map[azuretiller.Zone]int{}
	for _, m := range l.members {
		if m.heartbeat.ViewVersion < settled {
			behind[m.heartbeat.Zone]++
		}
	}
	return behind
}

func sendViewParts(to string, v message.View) []Effect {
	var effects []Effect
	for _, part := range v.Split() {
		effects = append(effects, Send{To: to, Message: message.Envelope{Body: part}})
	}
	return effects
}

func (l *Leader) view(now time.Time) message.View {
	v := message.View{Term: l.term, Version: l.viewVersion, Servers: slices.Clone(l.servers)}
	for i, s := range v.Servers {
		if probability, ok := l.scheduler(s.Service).SuccessProbability(now, s.ID); ok {
			v.Servers[i].Success = int(math.Round(probability*100/successGranularity)) * successGranularity
		}
	}
	for peer, m := range l.members {
		v.Members = append(v.Members, message.Member{
			VM:      m.heartbeat.VM,
			Zone:    m.heartbeat.Zone,
			Callers: m.heartbeat.CallerAddress,
			Peer:    peer,
			Ready:   m.heartbeat.Ready && !m.heartbeat.Leaving,
			Power:   m.heartbeat.CPUPercent,
		})
	}
	slices.SortFunc(v.Members, func(a, b message.Member) int { return cmp.Compare(a.VM, b.VM) })
	return v
}

// takeResendTokens reports whether the full view may be resent to one more VM, and takes the tokens for it.
//
// When all VMs of a large fleet start together, they miss the first views. Resending the full view to all of them at once would
// saturate the leader's link for seconds, and the placement responses queued behind it would arrive too late.
func (l *Leader) takeResendTokens(now time.Time) bool {
	l.resendTokens = min(resendEntriesPerSecond, l.resendTokens+resendEntriesPerSecond*now.Sub(l.resendRefilledAt).Seconds())
	l.resendRefilledAt = now
	if l.resendTokens <= 0 {
		return false
	}
	l.resendTokens -= float64(l.sentView.Len())
	return true
}
