// Package dispatch sends requests to backend servers.
package dispatch
