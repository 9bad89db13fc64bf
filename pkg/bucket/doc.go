// Package bucket holds the tokens of one share of a team's rate at the VM that is responsible for it.
package bucket
