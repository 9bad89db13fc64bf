// Package logstate applies the records of the log in offset order. Application is deterministic, so every VM that has read the
// same records has the same state.
package logstate
