// Package vmruntime runs one VM of the fleet.
package vmruntime
