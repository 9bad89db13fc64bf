package invariant

import "fmt"

// Checker passes a message about each violated invariant to a function that the process provides.
type Checker struct {
	report func(message string)
}

// New returns a checker that calls report for each violation.
func New(report func(message string)) *Checker {
	return &Checker{report: report}
}

// NewPanicking returns a checker for tests that panics at the first violation.
func NewPanicking() *Checker {
	return New(func(message string) { panic("invariant violated: " + message) })
}

// Assert reports a violation with the formatted message if holds is false.
func (c *Checker) Assert(holds bool, format string, args ...any) {
	if !holds {
		c.report(fmt.Sprintf(format, args...))
	}
}
