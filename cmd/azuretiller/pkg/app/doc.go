// Package app is the command line of azuretiller.
package app
