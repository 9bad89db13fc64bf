// Package journal applies the records of the log in offset order by one deterministic rule,
// so that every VM that has read the same records holds the same state.
package journal
