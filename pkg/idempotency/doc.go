// Package idempotency stores the request IDs of requests that may run only once, together with their answers, so that a retry
// gets the first answer.
package idempotency
