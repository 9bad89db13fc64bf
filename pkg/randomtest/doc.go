// Package randomtest gives randomised tests fixed seeds, so that they have the same verdict on every run.
package randomtest
