// Package timeheap keeps items in the order of a time that may change.
package timeheap
