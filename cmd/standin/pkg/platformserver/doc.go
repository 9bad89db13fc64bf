// Package platformserver is a stand-in for the platform's append-only log and VM list, which VMs that run "azuretiller serve" use.
package platformserver
