// Package faultproxy passes TCP connections on over loopback and harms them on request.
package faultproxy
