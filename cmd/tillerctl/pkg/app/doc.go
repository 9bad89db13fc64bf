// Package app is the command line of tillerctl.
package app
