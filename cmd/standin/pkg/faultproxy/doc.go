// Package faultproxy implements a TCP proxy on the loopback interface that injects network faults.
package faultproxy
