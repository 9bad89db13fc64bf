package connlimit

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/azuretiller/azuretiller/pkg/bytebudget"
)

// clients is a limiter whose clock the test advances, and whose connections read what the test passes to them.
type clients struct {
	limiter *Limiter
	now     time.Time
}

func newClients(maxConns int) *clients {
	s := &clients{now: time.Unix(1000, 0)}
	s.limiter = New(Params{
		Now:    func() time.Time { return s.now },
		Limits: func() Limits { return Limits{HeadBytes: headBytes, HeadTimeout: time.Hour, IdleTimeout: time.Hour} },
		Heads:  bytebudget.New(budget), MaxConns: maxConns, Marked: true,
		Refused: func(string) {},
	})
	return s
}

// open admits a connection a second after the last event, or returns nil.
func (s *clients) open() *conn {
	s.now = s.now.Add(time.Second)
	near, _ := net.Pipe()
	c := &conn{Conn: near, limiter: s.limiter, since: s.now}
	if !s.limiter.admit(c) {
		return nil
	}
	return c
}

// start begins a request with a body of the given length.
func (s *clients) start(c *conn, length int64) {
	s.now = s.now.Add(time.Second)
	c.count([]byte(get))
	c.beginRequest(length)
}

// serve serves a whole request.
func (s *clients) serve(c *conn) {
	s.start(c, 0)
	c.markServed()
	c.endRequest()
}

func (s *clients) isOpen(c *conn) bool {
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	_, ok := s.limiter.conns[c]
	return ok
}

// TestNewConnectionIsNotTheFirstToGo guards against ordinary connections that are closed as soon as another one comes, since the others are in
// the middle of a request.
func TestNewConnectionIsNotTheFirstToGo(t *testing.T) {
	s := newClients(4)
	var stalled []*conn
	for range 4 {
		c := s.open()
		s.start(c, 1<<20)
		stalled = append(stalled, c)
	}
	ordinary := s.open()
	for i := range 3 {
		assert.False(t, s.isOpen(stalled[i]))
		assert.True(t, s.isOpen(stalled[i+1]))
		require.NotNil(t, s.open())
		assert.True(t, s.isOpen(ordinary))
	}
}

// TestSingleBytesAreNoProgress guards against uploads that keep their connection with a byte now and then, while others arrive at an ordinary
// rate.
func TestSingleBytesAreNoProgress(t *testing.T) {
	s := newClients(2)
	upload, trickle := s.open(), s.open()
	s.start(upload, 1<<20)
	s.start(trickle, 1<<20)
	for range 10 {
		s.now = s.now.Add(time.Second)
		upload.count([]byte(strings.Repeat("x", 2*bodyRate)))
		s.now = s.now.Add(time.Second)
		trickle.count([]byte("x"))
	}
	require.NotNil(t, s.open())
	assert.True(t, s.isOpen(upload))
	assert.False(t, s.isOpen(trickle))
}

// TestServedClientsKeepTheirShare guards against connections of served clients that new ones close, and against served clients that take all
// connections.
func TestServedClientsKeepTheirShare(t *testing.T) {
	s := newClients(4)
	var served []*conn
	for range 2 {
		c := s.open()
		s.serve(c)
		served = append(served, c)
	}
	for range 20 {
		require.NotNil(t, s.open())
	}
	for _, c := range served {
		assert.True(t, s.isOpen(c), "half of the connections stay")
	}
	s.serve(s.open())
	require.NotNil(t, s.open())
	assert.False(t, s.isOpen(served[0]), "beyond that, the one that has waited longest goes")
	assert.True(t, s.isOpen(served[1]))
}

// TestFrequentClientsStayLongest guards against clients that get one response and then stall: they do not take the place of one that uses its
// connection again and again.
func TestFrequentClientsStayLongest(t *testing.T) {
	s := newClients(4)
	frequent := s.open()
	for range 4 {
		s.serve(frequent)
	}
	for range 20 {
		c := s.open()
		s.serve(c)
		s.start(c, 1<<20)
	}
	assert.True(t, s.isOpen(frequent))
}

// TestEvictedRequests guards against requests that are cut although their body is complete, and against connections that stay for good
// after the eviction.
func TestEvictedRequests(t *testing.T) {
	s := newClients(2 * dismissedShare)
	complete, stalled := s.open(), s.open()
	s.start(complete, -1)
	s.start(stalled, -1)
	for range 2 * dismissedShare {
		require.NotNil(t, s.open())
	}
	for _, c := range []*conn{complete, stalled} {
		assert.True(t, c.isEvicted())
		assert.False(t, c.closed, "the handler may refuse the request")
	}
	complete.endBody()
	s.now = s.now.Add(2 * dismissTimeout)
	s.limiter.sweep()
	assert.False(t, complete.closed)
	assert.True(t, stalled.closed)
}

// TestClosedConnectionWaitsForItsClient closes connections in any state: the one that goes is never needed, and no other on its level has waited
// longer.
func TestClosedConnectionWaitsForItsClient(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newClients(6)
		var conns []*conn
		for range 6 {
			conns = append(conns, s.open())
		}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			c := rapid.SampledFrom(conns).Draw(t, "conn")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				if c.phase == awaitingHead {
					s.start(c, 1<<20)
				}
			case 1:
				if c.phase == readingBody {
					s.now = s.now.Add(time.Second)
					c.count([]byte(strings.Repeat("x", bodyRate)))
				}
			case 2:
				c.endBody()
			case 3:
				if c.phase == responding {
					c.markServed()
					c.endRequest()
				}
			case 4:
				before := map[*conn]time.Time{}
				for _, other := range conns {
					if r, since := other.rank(); r != needed {
						before[other] = since
					}
				}
				added := s.open()
				require.Equal(t, len(before) > 0, added != nil, "a connection is admitted unless all others are needed")
				for i, gone := range conns {
					if added == nil || s.isOpen(gone) {
						continue
					}
					require.Contains(t, before, gone, "the closed one was not needed")
					for other, since := range before {
						require.False(t, other.level() == gone.level() && since.Before(before[gone]), "none on its level has waited longer")
					}
					conns[i] = added
				}
			}
		}
	})
}
