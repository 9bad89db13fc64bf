// Package ending names the ways in which the requests of callers end, for the log and the metrics.
package ending
