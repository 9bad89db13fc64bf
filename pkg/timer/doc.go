// Package timer is the one source of periodic events of a process.
package timer
