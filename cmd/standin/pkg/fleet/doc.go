// Package fleet runs VMs, backend servers and a stand-in for the platform's store in one process on loopback addresses. The VMs run
// as with "azuretiller edge", and use the same platform adapter as in production.
package fleet
