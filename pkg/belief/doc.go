// Package belief estimates how likely each backend server is to answer, from the results of the whole fleet.
package belief
