// Package poolhome runs the requests of the pools that this VM decides for.
package poolhome
