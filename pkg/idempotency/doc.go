// Package idempotency stores the request IDs of requests that may run only once, together with their responses, so that a retry
// gets the first response.
package idempotency
