// Package figures prints the results of measurement tests with their targets and baselines.
package figures
