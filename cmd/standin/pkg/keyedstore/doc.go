// Package keyedstore is a stand-in for the platform's store, as far as the fleet uses it.
package keyedstore
