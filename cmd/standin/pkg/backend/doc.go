// Package backend stands in for a backend server whose faults can be switched on while it runs.
package backend
