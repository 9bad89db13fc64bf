// Package config compiles the settings into the typed configuration that request handling uses.
package config
