// Package entry serves the callers: it authenticates a request, spends the team's rate and has a pool's home run it.
package entry
