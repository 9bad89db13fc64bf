// Package control is the reducer over all control events of one VM; what it wants done it returns as effects.
package control
