// Package virtualtime runs scheduled functions on a simulated clock, for tests and measurements.
package virtualtime
