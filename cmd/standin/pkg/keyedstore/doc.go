// Package keyedstore is an in-memory stand-in for the platform's store. It implements only the calls that the fleet uses.
package keyedstore
