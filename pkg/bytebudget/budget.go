package upstream

import "sync/atomic"

// bodyBudget limits the bytes that all buffered response bodies occupy together.
type bodyBudget struct {
	left atomic.Int64
}

func newBodyBudget(size int64) *bodyBudget {
	b := &bodyBudget{}
	b.left.Store(size)
	return b
}

// take reserves n bytes, or returns false if fewer are left.
func (b *bodyBudget) take(n int64) bool {
	if b.left.Add(-n) >= 0 {
		return true
	}
	b.left.Add(n)
	return false
}

// put returns n reserved bytes.
func (b *bodyBudget) put(n int64) { b.left.Add(n) }
