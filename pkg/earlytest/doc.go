// Package earlytest provides backend servers for tests that respond to an upload before they have read it.
package earlytest
