// Package demo runs the platform, VMs, backend servers, operators and callers in one process and checks the results.
package demo
