// Package memlog implements an append-only log in memory with fault injection, for tests and stand-ins.
package memlog
