// Package clientlimit divides the memory and the descriptors of a process among the listeners for its clients.
package clientlimit
