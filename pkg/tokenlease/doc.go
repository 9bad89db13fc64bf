// Package tokenlease keeps the rate limit tokens that an entry VM drew for one team and has not spent yet. Each batch of
// tokens has a lease.
package tokenlease
