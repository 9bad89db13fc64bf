// Package capacity measures what VMs cost at several sizes and holds the page docs/CAPACITY.md to it.
package capacity
