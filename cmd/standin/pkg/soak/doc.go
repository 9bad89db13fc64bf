// Package soak runs the azuretiller program as separate processes on one host, injects faults from outside, and checks the
// system's guarantees against what callers and backend servers observed.
package soak
