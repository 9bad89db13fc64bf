package pipeline

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/azuretiller/azuretiller/pkg/logid"
	"github.com/azuretiller/azuretiller/platform"
)

// arrival is the time at which the head of a request arrived.
type arrival struct {
	// index is the number of requests before it on the connection.
	index int
	at    time.Time
	// id is that of a request behind others, for the log.
	id string
}

// noteArrival keeps when the head of the next request arrived.
func (c *conn) noteArrival(head []byte) {
	if len(c.arrivals) >= maxArrivals {
		return
	}
	a := arrival{index: c.parsed, at: c.listener.common.Clock.Now()}
	if c.parsed > c.finished {
		a.id = findID(head)
	}
	c.arrivals = append(c.arrivals, a)
}

// findID returns the id of the request with a head, shortened for the log.
func findID(head []byte) string {
	for line := range bytes.Lines(head) {
		name, value, ok := bytes.Cut(line, []byte(":"))
		if ok && strings.EqualFold(string(name), platform.HeaderAttempt) {
			return logid.Shorten(string(bytes.TrimSpace(value)))
		}
	}
	return ""
}

// notServed returns the number of requests that no handler has got, and the ids of those that are known.
func (c *conn) notServed() (count int, ids string) {
	first := max(c.entered, c.reported)
	var known []string
	for _, a := range c.arrivals {
		if a.index >= first && a.id != "" {
			known = append(known, a.id)
		}
	}
	return max(c.parsed-first, 0), strings.Join(known, ",")
}

// takeWait returns how long the request with the given index has waited since its head arrived, or 0 if that is not known.
func (c *conn) takeWait(index int) time.Duration {
	before := 0
	for before < len(c.arrivals) && c.arrivals[before].index < index {
		before++
	}
	c.arrivals = slices.Delete(c.arrivals, 0, before)
	if len(c.arrivals) == 0 || c.arrivals[0].index != index {
		return 0
	}
	at := c.arrivals[0].at
	c.arrivals = slices.Delete(c.arrivals, 0, 1)
	return c.listener.common.Clock.Now().Sub(at)
}

// Waited returns how long the request that is being served on the connection of a context waited behind others after its head had arrived.
func Waited(ctx context.Context) time.Duration {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waited
}
