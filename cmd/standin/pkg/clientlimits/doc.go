// Package clientlimits tests edge processes with clients that exceed the limits or send requests of unusual shape.
package clientlimits
