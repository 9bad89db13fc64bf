package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestMessagesOfLeaderThatHearsNothingAreNoContact guards against VMs that keep an old configuration and old servers: while nothing passes from
// their zone to the zone of the leader, they must not take the messages that it sends to lost VMs for answers to their heartbeats.
func TestMessagesOfLeaderThatHearsNothingAreNoContact(t *testing.T) {
	f := newFleet(t, 36, 7)
	f.schedule.Run(2 * time.Second)
	leaderZone := f.activeLeaders()[0].member.self.Zone
	cutOff := f.vms[0].member.self.Zone
	if cutOff == leaderZone {
		cutOff = f.vms[1].member.self.Zone
	}
	f.dropsLink = func(from, to int) bool {
		return f.vms[from].member.self.Zone == cutOff && f.vms[to].member.self.Zone == leaderZone
	}
	f.schedule.Run(3 * time.Second)
	for range 20 {
		f.schedule.Run(200 * time.Millisecond)
		now := f.schedule.Now()
		for _, v := range f.vms {
			if v.member.self.Zone == cutOff {
				assert.Greater(t, v.member.LeaderUnreachableFor(now), 2*time.Second, "%s at %s", v.id, now)
			}
		}
	}
	f.dropsLink = func(int, int) bool { return false }
	f.schedule.Run(2 * time.Second)
	f.assertOneLeader("after the cut")
}
