// Package handshake proves to two VMs that the other one knows the fleet's secret.
package handshake
