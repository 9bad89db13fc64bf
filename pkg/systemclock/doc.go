// Package systemclock implements azuretiller.Clock with the clock of the operating system.
package systemclock
