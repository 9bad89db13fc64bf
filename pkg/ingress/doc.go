// Package ingress serves HTTP requests of callers: it authenticates a request, charges the team's rate limit and
// forwards the request to the VM that owns a pool of the service.
package ingress
