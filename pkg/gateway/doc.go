// Package gateway serves requests of callers: it finds the route and the team of a request, asks the leader for a backend server,
// sends the request to that server and returns the response to the caller.
package gateway
