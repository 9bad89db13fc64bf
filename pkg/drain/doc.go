// Package drain stops an HTTP server in such a way that each request that it has read gets a response.
package drain
