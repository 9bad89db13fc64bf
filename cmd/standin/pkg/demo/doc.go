// Package demo runs the whole path in one process: platform, VMs, backend servers, operators and callers.
package demo
