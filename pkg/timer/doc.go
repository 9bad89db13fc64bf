// Package timer wakes all periodic tasks of a process from a single timer.
package timer
