// Package topology groups backend servers into pools and assigns each pool to the VM that places its requests.
package topology
