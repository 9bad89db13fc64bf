// Package randomtest runs randomised tests with fixed seeds, so that every run has the same result.
package randomtest
