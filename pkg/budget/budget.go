package budget

// Budget counts the extra attempts that the recent requests have paid for.
type Budget struct {
	ratio   float64
	reserve float64
	saved   float64
}

// New returns a budget of ratio extra attempts a request, of which reserve may be saved up and initial are saved already.
func New(ratio, reserve, initial float64) *Budget {
	return &Budget{ratio: ratio, reserve: reserve, saved: initial}
}

// SetRatio changes the number of extra attempts a request pays for.
func (b *Budget) SetRatio(ratio float64) { b.ratio = ratio }

// Request notes a request that is no extra attempt.
func (b *Budget) Request() {
	b.saved = min(b.saved+b.ratio, b.reserve)
}

// Saved returns the share of the reserve that is saved up.
func (b *Budget) Saved() float64 {
	if b.reserve <= 0 {
		return 0
	}
	return b.saved / b.reserve
}

// Spend takes one extra attempt and reports whether there was one.
func (b *Budget) Spend() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
