// Package membership decides which VMs of the roster are down, from heartbeats over a graph of fixed degree
// and the accusations of several observers.
package membership
