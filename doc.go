// Package azuretiller holds the domain types of the proxy fleet and the interfaces
// whose implementations live in the packages below it.
package azuretiller
