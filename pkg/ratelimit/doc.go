// Package ratelimit enforces the request rates of the teams on an entry VM. The rate of a team is split into shares,
// each a token bucket on one VM (see package rateshare); the entry VM draws tokens from these VMs, the owners, in
// batches.
package ratelimit
