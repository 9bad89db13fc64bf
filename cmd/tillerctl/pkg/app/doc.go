// Package app implements the command line of tillerctl.
package app
