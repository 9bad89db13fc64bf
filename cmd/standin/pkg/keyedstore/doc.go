// Package keyedstore is an in-memory stand-in for the platform's store, which VMs that run "azuretiller edge" use. It implements
// only the calls that the fleet uses.
package keyedstore
