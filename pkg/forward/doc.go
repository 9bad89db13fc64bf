// Package forward defines the request head, the response head and the body frames that VMs send to each other.
package forward
