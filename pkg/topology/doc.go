// Package topology groups backend servers into pools and gives each pool its home VM.
package topology
