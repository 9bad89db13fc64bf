// Package picker decides on an entry VM in which order the pools of a service are tried for a request.
package picker
