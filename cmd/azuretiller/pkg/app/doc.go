// Package app implements the command line of azuretiller.
package app
