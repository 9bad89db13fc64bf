// Package settings reads and validates the settings file of one VM.
package settings
