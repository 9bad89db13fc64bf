// Package exchange defines the request head, the response head and the body frames that VMs send to each other.
package exchange
