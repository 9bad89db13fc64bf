// Package common holds what most parts of a process need.
package common
