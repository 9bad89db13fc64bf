// Package invariant checks invariants at run time.
package invariant
