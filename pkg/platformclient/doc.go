// Package platformclient is an HTTP client for the platform's log and VM list.
package platformclient
