//go:build review

// Command rig runs the cases of the review that are scripts: it starts `azuretiller edge` as separate processes, with stand-ins for the
// store, the workers and the consumers, and checks one rule.
package main
