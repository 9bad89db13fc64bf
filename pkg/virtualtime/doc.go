// Package virtualtime runs scheduled functions in the order of a clock that it moves itself, for tests and measurements.
package virtualtime
