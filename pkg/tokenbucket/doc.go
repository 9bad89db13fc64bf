// Package tokenbucket limits the request rates of teams with token buckets.
package tokenbucket
