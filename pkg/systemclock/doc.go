// Package systemclock is the clock of a running process.
package systemclock
