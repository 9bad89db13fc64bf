package soak

// Regression is a seed that once failed, with its cause.
type Regression struct {
	Seed  uint64
	Cause string
}

// Regressions returns the seeds that are run again with every soak.
func Regressions() []Regression {
	return []Regression{
		{101, "the soak started a VM twice when two of its restarts overlapped; the second process found its address in use"},
	}
}
