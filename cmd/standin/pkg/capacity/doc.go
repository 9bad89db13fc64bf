// Package capacity measures the resource use of VMs at several fleet sizes and checks the figures in docs/CAPACITY.md.
package capacity
