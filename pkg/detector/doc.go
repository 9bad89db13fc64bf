// Package detector performs outlier detection: it finds backend servers that fail or respond slowly, by comparing the
// results of live requests between the servers of one pool.
package detector
