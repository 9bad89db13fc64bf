// Package app is the command line of standin.
package app
