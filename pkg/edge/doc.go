// Package edge runs one VM of the fleet on the users' platform.
package edge
