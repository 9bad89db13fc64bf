// Package pool decides, for the backend servers of one pool, which request runs where and when.
package pool
