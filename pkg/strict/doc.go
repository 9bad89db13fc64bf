// Package strict measures elapsed time for leases, so that neither a pause nor a clock step extends one.
package strict
