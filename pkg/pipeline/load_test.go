package pipeline

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestPipelinedLoadIsServedSooner plays a load of 40 callers, each with 12 bursts of 1 to 6 requests after pauses of 0 to 100 ms. A request takes
// 20 to 80 ms, and 1 in 10 is not idempotent. It guards against a read-ahead that gives the callers nothing, that exceeds the bounds of
// the VM, or that mixes up responses. The same load is served without read-ahead for comparison.
func TestPipelinedLoadIsServedSooner(t *testing.T) {
	const seed = 7
	early, earlyPeak := playLoad(t, seed, false)
	serial, serialPeak := playLoad(t, seed, true)
	t.Logf("mean time to the response %s with at most %d requests at once, serially %s with %d", early, earlyPeak, serial, serialPeak)
	assert.Less(t, early, serial*3/4)
	assert.LessOrEqual(t, earlyPeak, loadCallers+maxPrepared)
	assert.LessOrEqual(t, serialPeak, loadCallers)
}

const loadCallers = 40

// playLoad returns the mean time from the sending of a request to its response, and the largest number of requests that ran at once.
func playLoad(t *testing.T, seed uint64, serial bool) (mean time.Duration, peak int) {
	const bursts, maxBurst = 12, 6
	var mu sync.Mutex
	var total time.Duration
	count, running := 0, 0
	synctest.Test(t, func(t *testing.T) {
		s := startServer(t, func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			running++
			peak = max(peak, running)
			mu.Unlock()
			var takes int
			_, _ = fmt.Sscan(r.URL.Query().Get("takes"), &takes)
			time.Sleep(time.Duration(takes) * time.Millisecond)
			mu.Lock()
			running--
			mu.Unlock()
			_, _ = fmt.Fprint(w, r.RequestURI)
		})
		if serial {
			s.leave()
		}
		var group sync.WaitGroup
		for i := range loadCallers {
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			c := s.dial()
			group.Go(func() {
				for b := range bursts {
					time.Sleep(time.Duration(random.IntN(101)) * time.Millisecond)
					var targets []string
					for n := range 1 + random.IntN(maxBurst) {
						kind := "safe"
						if random.IntN(10) == 0 {
							kind = "unsafe"
						}
						targets = append(targets, fmt.Sprintf("/%s/%d-%d-%d?takes=%d", kind, i, b, n, 20+random.IntN(61)))
					}
					sent := time.Now()
					c.send(gets(targets...))
					for _, target := range targets {
						_, body := c.receive(t)
						assert.Equal(t, target, body)
						mu.Lock()
						total += time.Since(sent)
						count++
						mu.Unlock()
					}
				}
			})
		}
		group.Wait()
		synctest.Wait()
		requireNothingHeld(t, s)
	})
	return total / time.Duration(count), peak
}
