// Package config turns the settings tree into the typed values that traffic reads.
package config
