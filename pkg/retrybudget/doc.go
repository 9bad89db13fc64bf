// Package retrybudget limits retries to a fraction of the requests.
package retrybudget
