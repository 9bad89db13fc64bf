// Package stall notices when a process did not run for a while, for example since its share of the processor was used up.
package stall
