// Package leasebucket implements the token bucket of one share of a team's rate. Tokens are leased: a VM that drew tokens
// may spend them until the lease expires.
package leasebucket
