// Package gateway serves callers: it finds the route and the team of a request, asks the leader for a backend server,
// sends the request there and gives the answer back.
package gateway
