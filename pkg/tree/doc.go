// Package tree holds the operators' settings tree, in which each branch inherits
// from its parent and overrides only what differs.
package tree
