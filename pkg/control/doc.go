// Package control holds the control state of one VM. Its reducer applies events to the state and returns the effects that
// the caller must carry out.
package control
