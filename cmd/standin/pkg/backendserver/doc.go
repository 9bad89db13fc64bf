// Package backendserver is a stand-in for a backend server on the platform, which can inject the faults of real backend servers.
package backendserver
