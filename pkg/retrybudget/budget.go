package retrybudget

// Budget is a retry budget: each request adds a fraction of a retry to the balance, and each retry takes one from it.
type Budget struct {
	// ratio is the number of retries that each request adds.
	ratio float64
	// capacity is the largest balance, in retries.
	capacity float64
	// balance is the number of retries that may be sent now.
	balance float64
}

// New returns a budget to which each request adds ratio retries. The balance starts at initial and never exceeds capacity.
func New(ratio, capacity, initial float64) *Budget {
	return &Budget{ratio: ratio, capacity: capacity, balance: initial}
}

// SetRatio changes the number of retries that each request adds.
func (b *Budget) SetRatio(ratio float64) { b.ratio = ratio }

// Deposit credits the budget for a request that is not a retry.
func (b *Budget) Deposit() {
	b.balance = min(b.balance+b.ratio, b.capacity)
}

// Remaining returns the balance as a fraction of the capacity.
func (b *Budget) Remaining() float64 {
	if b.capacity <= 0 {
		return 0
	}
	return b.balance / b.capacity
}

// Withdraw takes one retry from the balance. It reports false if the balance is less than one.
func (b *Budget) Withdraw() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
