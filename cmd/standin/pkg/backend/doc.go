// Package backend implements a stand-in for a backend server, with faults that can be changed at runtime.
package backend
