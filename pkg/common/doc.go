// Package common holds the dependencies that most components of a process share.
package common
