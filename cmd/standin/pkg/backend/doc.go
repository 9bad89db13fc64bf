// Package backend implements a stand-in for a backend server, with faults that can be changed at runtime. It serves VMs that run
// "azuretiller serve", which know their backend servers from the settings tree.
package backend
