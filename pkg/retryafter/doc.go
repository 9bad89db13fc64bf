// Package retryafter spreads the Retry-After times of refusals, so that callers that were refused together do not return together.
package retryafter
