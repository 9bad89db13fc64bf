// Package fallback places the requests of one VM while it has no contact with the leader. Each VM uses only its share of the
// teams' rates.
package fallback
