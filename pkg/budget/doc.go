// Package budget bounds retries to a share of the requests.
package budget
