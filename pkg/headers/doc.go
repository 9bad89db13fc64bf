// Package headers names the HTTP headers of the fleet, and removes headers and keys that must not be forwarded.
package headers
