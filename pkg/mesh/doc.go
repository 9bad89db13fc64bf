// Package mesh keeps the connections between this VM and the others.
package mesh
