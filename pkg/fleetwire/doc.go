// Package fleetwire writes the messages between VMs as protobuf datagrams and reads them.
package fleetwire
