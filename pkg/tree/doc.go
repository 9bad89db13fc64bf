// Package tree implements the operators' settings tree, in which each branch inherits
// the fields of its parent unless it sets them itself.
package tree
