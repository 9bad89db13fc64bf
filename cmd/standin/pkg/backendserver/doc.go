// Package backendserver is a stand-in for a backend server on the platform, which can inject the faults of real backend servers. It
// serves VMs that run "azuretiller edge", which know their backend servers from the registry in the platform's store.
package backendserver
