// Package worker is a stand-in for a backend server on the platform, with the faults that real ones have.
package worker
