// Package node runs one VM of the fleet.
package node
