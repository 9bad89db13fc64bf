// Package figures prints the results of measuring tests together with their targets and baselines.
package figures
