// Package peers is the client for calls to other VMs. It converts between domain types and protobuf messages.
package peers
