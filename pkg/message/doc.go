// Package message defines the messages that the VMs of a fleet exchange.
package message
