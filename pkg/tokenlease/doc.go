// Package tokenlease keeps the rate limit tokens that an entry VM drew for one team and has not spent yet. The tokens of
// each draw are leased: they expire if they are not spent in time.
package tokenlease
