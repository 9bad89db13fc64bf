// Package poolowner runs the requests of the pools that this VM owns. The owner of a pool is the VM that schedules the
// requests to the backend servers of the pool.
package poolowner
