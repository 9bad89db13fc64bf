// Package field lists the fields that a branch of the settings tree can carry.
package field
