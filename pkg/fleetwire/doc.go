// Package fleetwire encodes and decodes the messages between VMs as protobuf datagrams.
package fleetwire
