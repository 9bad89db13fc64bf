// Package meter limits the request rates of teams with token buckets.
package meter
