// Package ratelimit spends the rate of teams at an entry VM with tokens drawn from the VMs that hold it.
package ratelimit
