// Package invariant asserts inside the program what must always hold.
package invariant
