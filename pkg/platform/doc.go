// Package platform is an HTTP client for the platform's log and VM list.
package platform
