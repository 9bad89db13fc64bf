//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// cutTime is how long the leader is cut off from the store.
	cutTime = 100 * time.Millisecond
	// leaveTime is how long a worker goes on after its entry was removed: drain and a little longer.
	leaveTime = drain + 400*time.Millisecond
	// rounds is how many workers leave, each after a cut. The pause between two rounds is longer than contact (3 s).
	rounds = 4
	pause  = 3200 * time.Millisecond
	// orders is the size of a clump of orders, which come clumpGap apart, and quiet the time without orders before a clump.
	orders   = 24
	clumpGap = 8 * time.Millisecond
	quiet    = drain + 20*time.Millisecond
)

// sentOrder is an order of a consumer.
type sentOrder struct {
	vm, result string
	at         time.Time
}

// removal removes the entries of workers, each at the end of a short cut between the leader and the store. The service is quiet after
// that, so that no VM learns from an answer that the worker leaves, and then gets a clump of orders.
func removal(rec *record, trouble bool) (int, error) {
	f, err := newFleet(rec, 3, 2*rounds, []map[string]any{team("yard", key)}, []map[string]any{route("orders", "/orders/", "unsafe", "3000ms")})
	defer f.stop()
	if err != nil {
		return failed, err
	}
	late, lost := 0, 0
	for i := range rounds {
		leader := f.leader()
		if leader == nil {
			return failed, errors.New("no VM leads")
		}
		var others []*vm
		for _, v := range f.vms {
			if v != leader {
				others = append(others, v)
			}
		}
		rec.note("%s leads; the consumers use the other VMs", leader.name)
		sendClump(rec, others, fmt.Sprintf("before-%d", i))
		if trouble {
			rec.note("the store resets the connections of %s for %s", leader.name, cutTime)
			leader.store.cut()
		}
		time.Sleep(cutTime)
		leader.store.heal()
		gone := f.workers[i]
		removed := gone.leave(f.store)
		rec.note("the store accepts that the entry of %s is removed", gone.id)
		time.AfterFunc(time.Until(removed.Add(leaveTime)), gone.exit)
		time.Sleep(time.Until(removed.Add(quiet)))
		sent := sendClump(rec, others, fmt.Sprintf("order-%d", i))
		for _, r := range gone.arrivals() {
			o, ok := sent[r.id]
			if after := r.at.Sub(removed); ok && after > drain {
				late++
				rec.note("BROKEN: %s, which the consumer sent %.3f s after the removal of %s was acknowledged, reached it through %s %.3f s after that; the consumer got: %s",
					r.id, o.at.Sub(removed).Seconds(), gone.id, o.vm, after.Seconds(), o.result)
				if o.result != "200 OK" {
					lost++
				}
			}
		}
		time.Sleep(pause)
	}
	if late > 0 {
		rec.note("%d orders reached workers too late, and %d of them were lost", late, lost)
		fmt.Printf("broken: %d orders reached workers later than 2 s after their removal was acknowledged; %d of them were lost\n", late, lost)
		return broken, nil
	}
	rec.note("held: no request reached a worker later than 2 s after its removal")
	return held, nil
}

// sendClump sends a clump of orders through some VMs in turn, and returns when all are answered.
func sendClump(rec *record, vms []*vm, name string) map[string]sentOrder {
	var wg sync.WaitGroup
	var mu sync.Mutex
	sent := map[string]sentOrder{}
	for n := range orders {
		id, v := fmt.Sprintf("%s-%d", name, n), vms[n%len(vms)]
		wg.Go(func() {
			o := sentOrder{vm: v.name, at: time.Now()}
			rec.note("consumer sends %s to %s", id, v.name)
			o.result = order(v, id)
			rec.note("consumer gets for %s: %s", id, o.result)
			mu.Lock()
			defer mu.Unlock()
			sent[id] = o
		})
		time.Sleep(clumpGap)
	}
	wg.Wait()
	return sent
}

// order sends one request on a connection of its own, and returns the status of the answer.
func order(v *vm, id string) string {
	c, err := connect(v.front())
	if err != nil {
		return err.Error()
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, requestHead("POST", "/orders/new?work=200", id, key, 3*time.Second, 0)); err != nil {
		return err.Error()
	}
	_ = c.SetReadDeadline(time.Now().Add(4 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err.Error()
	}
	_ = response.Body.Close()
	return response.Status
}
