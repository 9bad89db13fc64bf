// Package budget limits retries to a fraction of the requests.
package budget
