// Package peers is this VM's side of the calls to other VMs, in domain types.
package peers
