// Package platform reaches the platform's log and VM list over HTTP.
package platform
