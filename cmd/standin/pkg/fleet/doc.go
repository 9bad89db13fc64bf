// Package fleet runs VMs, backend servers and the platform's store on loopback, through the same adapter as on the platform.
package fleet
