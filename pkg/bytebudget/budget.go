package bytebudget

import "sync/atomic"

// Budget limits the bytes that all its holders occupy together.
type Budget struct {
	left atomic.Int64
}

// New returns a budget of the given size in bytes.
func New(size int64) *Budget {
	b := &Budget{}
	b.left.Store(size)
	return b
}

// Take reserves n bytes, or returns false if fewer are left.
func (b *Budget) Take(n int64) bool {
	if b.left.Add(-n) >= 0 {
		return true
	}
	b.left.Add(n)
	return false
}

// Put returns n reserved bytes.
func (b *Budget) Put(n int64) { b.left.Add(n) }
