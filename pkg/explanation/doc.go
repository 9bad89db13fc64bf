// Package explanation contains the description of where a request would be sent and why.
package explanation
