// Package logserver stands in for the platform: its append-only log and its VM list.
package logserver
