package budget

const (
	// reserve is the number of retries that may be saved up.
	reserve = 10.0
	initial = 1.0
)

// Budget counts the retries that the recent requests have paid for.
type Budget struct {
	ratio float64
	saved float64
}

// New returns a budget of ratio retries a request.
func New(ratio float64) *Budget {
	return &Budget{ratio: ratio, saved: initial}
}

// SetRatio changes the number of retries a request pays for.
func (b *Budget) SetRatio(ratio float64) { b.ratio = ratio }

// Request notes a request that is no retry.
func (b *Budget) Request() {
	b.saved = min(b.saved+b.ratio, reserve)
}

// Retry spends one retry and reports whether there was one.
func (b *Budget) Retry() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
