package health

import "slices"

// Clone returns an independent copy that shares the model. Reading the copy leaves the original as it is.
func (e *Estimate) Clone() *Estimate {
	c := *e
	c.grayProbability = slices.Clone(e.grayProbability)
	return &c
}
