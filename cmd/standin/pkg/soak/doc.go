// Package soak runs the real program as separate processes on one machine, harms them from outside, and checks the promises from
// what callers and backend servers see.
package soak
