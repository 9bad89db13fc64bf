// Package metrics makes the counters and histograms of a process and serves them in the text format of Prometheus.
package metrics
