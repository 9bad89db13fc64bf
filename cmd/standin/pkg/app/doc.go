// Package app implements the command line of standin.
package app
