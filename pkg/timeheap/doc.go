// Package timeheap keeps items ordered by a time, which can be changed for each item.
package timeheap
