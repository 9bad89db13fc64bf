// Package mesh manages the connections between this VM and the other VMs. Requests and calls share one multiplexed
// connection in each direction.
package mesh
