// Package ramp limits how many requests a cold backend server runs at once.
package ramp
