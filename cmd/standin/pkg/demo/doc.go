// Package demo runs the platform, VMs, backend servers, operators and callers in one process and checks the results. The VMs run as
// with "azuretiller serve".
package demo
