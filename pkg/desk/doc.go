// Package desk decides for one service which backend server gets which request, which request waits, and which is
// turned away. It has no clock and no I/O of its own.
package desk
