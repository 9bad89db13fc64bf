package zoneflow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

const serviceTime = 400 * time.Millisecond

func testFlow() Flow { return Flow{Cost: 0.03, CostPerKiB: 0.0035} }

func genRequest(t *rapid.T) Request {
	return Request{
		Spare:      time.Duration(rapid.IntRange(-500, 3000).Draw(t, "spare ms")) * time.Millisecond,
		Waited:     time.Duration(rapid.IntRange(0, 2000).Draw(t, "waited ms")) * time.Millisecond,
		Size:       float64(rapid.IntRange(0, 1<<20).Draw(t, "size")),
		Priority:   rapid.IntRange(0, 3).Draw(t, "priority"),
		Idempotent: rapid.Bool().Draw(t, "idempotent"),
	}
}

// TestWaitIsBounded guards against requests that wait in their zone until they miss their target latency, or although the zone has no slots.
func TestWaitIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := genRequest(t)
		own := Zone{Slots: rapid.IntRange(0, 100).Draw(t, "slots"), Waiting: rapid.IntRange(0, 100).Draw(t, "waiting")}
		if !testFlow().Waits(r, own, serviceTime) {
			return
		}
		assert.Positive(t, own.Slots)
		backlog := serviceTime * time.Duration(own.Waiting) / time.Duration(own.Slots)
		assert.LessOrEqual(t, r.Waited+backlog, time.Duration(maxPatience*float64(r.Spare)))
	})
}

// TestLargeBodiesStayLongerAndUrgentRequestsLeaveSooner guards against an order in which large responses leave before small ones, or
// requests that can wait before urgent ones.
func TestLargeBodiesStayLongerAndUrgentRequestsLeaveSooner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := genRequest(t)
		own := Zone{Slots: rapid.IntRange(1, 100).Draw(t, "slots"), Waiting: rapid.IntRange(0, 100).Draw(t, "waiting")}
		larger, later := r, r
		larger.Size += 50 << 10
		later.Priority++
		if testFlow().Waits(r, own, serviceTime) {
			assert.True(t, testFlow().Waits(larger, own, serviceTime))
			assert.True(t, testFlow().Waits(later, own, serviceTime))
		}
	})
}

// TestRequestIsPlacedWhereverItCanBe guards against a request that neither waits for its zone nor gets a server although there is one, and
// against one that is sent where there is none.
func TestRequestIsPlacedWhereverItCanBe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		probability := rapid.Custom(func(t *rapid.T) float64 { return float64(rapid.IntRange(0, 100).Draw(t, "percent")) / 100 })
		c := Candidates{Own: probability.Draw(t, "own"), OwnBusy: probability.Draw(t, "busy"), Elsewhere: probability.Draw(t, "elsewhere")}
		patient := rapid.Bool().Draw(t, "patient")
		switch testFlow().Decide(genRequest(t), c, patient) {
		case Stay:
			assert.Positive(t, c.Own)
		case Wait:
			assert.True(t, patient || c.Own == 0 && c.Elsewhere == 0)
		default:
			assert.Positive(t, c.Elsewhere)
		}
	})
}

// TestSuspectedServersOfOwnZone guards against a failure that costs more than the crossing that would have avoided it.
func TestSuspectedServersOfOwnZone(t *testing.T) {
	suspected := Candidates{Own: 0.9, Elsewhere: 0.98}
	small, large := Request{Size: 1536, Idempotent: true}, Request{Size: 90 << 10, Idempotent: true}
	assert.Equal(t, LeaveSuspected, testFlow().Decide(small, suspected, false))
	assert.Equal(t, Stay, testFlow().Decide(large, suspected, false))
	large.Idempotent = false
	assert.Equal(t, LeaveSuspected, testFlow().Decide(large, suspected, false))
	suspected.OwnBusy = 0.98
	assert.Equal(t, Wait, testFlow().Decide(large, suspected, true))
	assert.Equal(t, Stay, testFlow().Decide(large, Candidates{Own: 0.984, Elsewhere: 0.985}, true))
	assert.Equal(t, LeaveSuspected, testFlow().Decide(large, Candidates{Own: 0.98, Elsewhere: 0.985}, true))
	large.Idempotent = true
	assert.Equal(t, Stay, testFlow().Decide(large, Candidates{Own: 0.98, Elsewhere: 0.985}, true))
}

// TestZoneKeepsSlotsForItsOwnRequests guards against requests of other zones that take the slots a zone needs itself.
func TestZoneKeepsSlotsForItsOwnRequests(t *testing.T) {
	for _, c := range []struct {
		zone                    Zone
		foreign, late, unserved bool
	}{
		{Zone{Slots: 60, Free: 20}, true, true, true},
		{Zone{Slots: 60, Free: 3}, false, true, true},
		{Zone{Slots: 60, Free: 5, Waiting: 5}, false, false, true},
		{Zone{Slots: 60}, false, false, false},
	} {
		assert.Equal(t, c.foreign, testFlow().Accepts(c.zone, Foreign))
		assert.Equal(t, c.late, testFlow().Accepts(c.zone, Late))
		assert.Equal(t, c.unserved, testFlow().Accepts(c.zone, Unserved))
	}
}
