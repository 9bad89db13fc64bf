// Package detector finds backend servers that fail or slow down, by comparing their real work with their peers'.
package detector
