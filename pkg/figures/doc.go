// Package figures prints the measured values of the tests that measure, beside their targets and baselines.
package figures
