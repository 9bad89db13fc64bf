// Package memlog is an append-only log in memory whose faults can be switched on, for tests and stand-ins.
package memlog
