// Package shareholder tracks the share of the teams' rates that a VM holds, and when the VM may spend it itself.
package shareholder
