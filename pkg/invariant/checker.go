package invariant

import "fmt"

// Checker reports conditions that do not hold; what a report leads to is up to the process.
type Checker struct {
	report func(message string)
}

// New returns a checker that calls report for each violation.
func New(report func(message string)) *Checker {
	return &Checker{report: report}
}

// NewPanicking returns a checker for tests and randomised runs, which stops at the first violation.
func NewPanicking() *Checker {
	return New(func(message string) { panic("invariant violated: " + message) })
}

// That reports a violation unless the condition holds.
func (c *Checker) That(holds bool, format string, args ...any) {
	if !holds {
		c.report(fmt.Sprintf(format, args...))
	}
}
