// Package field defines the fields that a branch of the settings tree can set.
package field
