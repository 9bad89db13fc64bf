// Package leaseclock measures elapsed time for leases, so that neither a pause of the process or VM nor a step of the wall clock
// extends a lease.
package leaseclock
