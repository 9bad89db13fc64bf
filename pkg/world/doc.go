// Package world keeps what a VM read from the platform's registry: backend servers, zones that are out, and the configuration.
package world
