package clientlimit

import (
	"cmp"

	"github.com/azuretiller/azuretiller/pkg/bytebudget"
	"github.com/azuretiller/azuretiller/pkg/common"
	"github.com/azuretiller/azuretiller/pkg/connlimit"
)

// The limits of a process whose settings name none are those of the smallest VMs.
const (
	// DefaultMemory is the memory of the VM in bytes.
	DefaultMemory = 136 << 20
	// DefaultDescriptors is how many descriptors the process may open.
	DefaultDescriptors = 2870
)

const (
	// reservedDescriptors is the number of descriptors that are left for files.
	reservedDescriptors = 200
	// headMemoryShare is the share of the memory for heads beyond what each connection may use without a reservation. With the garbage that the
	// runtime leaves until the next collection, heads take twice as much. The largest legal head, 16 KiB in lines of three bytes, takes 1.4 MiB.
	headMemoryShare = 8
	// connMemory is the memory of a connection in bytes: 58 KiB for one with a running request, as measured with 1,200 of them, its receive
	// buffer, the part of its head that needs no reservation, and as much again for garbage and for the rest of the process.
	connMemory = 256 << 10
	// callerShare and otherShare are the shares of the descriptors for the callers' connections and for those of each other listener. As many
	// as for callers are left for connections to backend servers.
	callerShare = 0.35
	otherShare  = 0.1
	// otherConnShare is the number of connections of each other listener as a part of that of callers.
	otherConnShare = 4
)

// Set creates the limiters of the listeners of a process. They share the memory for heads.
type Set struct {
	memory      int64
	descriptors int
	limits      func() connlimit.Limits
	heads       *bytebudget.Budget
	refusals    *refusals
	common      *common.Common
}

// Params are the parts of a Set.
type Params struct {
	Common *common.Common
	// Memory is the memory of the VM in bytes, and Descriptors is how many of them the process may open; 0 stands for the defaults.
	Memory      int64
	Descriptors int
	// Limits returns the limits of a connection that are in force.
	Limits func() connlimit.Limits
}

// New returns the limits of a process.
func New(p Params) *Set {
	s := &Set{
		memory:      cmp.Or(p.Memory, DefaultMemory),
		descriptors: cmp.Or(p.Descriptors, DefaultDescriptors),
		limits:      p.Limits,
		common:      p.Common,
	}
	s.heads = bytebudget.New(s.memory / headMemoryShare)
	s.refusals = &refusals{common: p.Common, pending: map[string]*pending{}}
	return s
}

// CallerLimiter returns a limiter for the listener for callers, whose handler calls connlimit.MarkServed.
func (s *Set) CallerLimiter() *connlimit.Limiter { return s.limiter(s.CallerConns(), true) }

// OtherLimiter returns a limiter for another listener.
func (s *Set) OtherLimiter() *connlimit.Limiter { return s.limiter(s.OtherConns(), false) }

func (s *Set) limiter(maxConns int, marked bool) *connlimit.Limiter {
	return connlimit.New(connlimit.Params{
		Now: s.common.Clock.Now, Limits: s.limits, Heads: s.heads, MaxConns: maxConns, Refused: s.refusals.add, Marked: marked,
	})
}

// CallerConns returns the largest number of connections of callers.
func (s *Set) CallerConns() int {
	return max(min(s.share(callerShare), int(s.memory/connMemory)), 1)
}

// OtherConns returns the largest number of connections of each other listener.
func (s *Set) OtherConns() int {
	return max(min(s.share(otherShare), int(s.memory/connMemory)/otherConnShare), 1)
}

func (s *Set) share(share float64) int {
	return int(float64(s.descriptors-reservedDescriptors) * share)
}
