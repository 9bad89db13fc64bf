package randomtest

import (
	"flag"
	"os"
	"testing"

	// The import registers the flags that Main sets.
	_ "pgregory.net/rapid"
)

const (
	// checksVariable is the environment variable for the number of runs of each randomised test.
	checksVariable = "SOAK_CHECKS"
	// seedVariable is the environment variable for the first seed.
	seedVariable  = "SOAK_SEED"
	defaultSeed   = "1"
	defaultChecks = "40"
)

// Main runs the tests of a package with a fixed seed and number of runs, unless environment variables set other values.
func Main(m *testing.M) int {
	flag.Parse()
	for name, value := range map[string]string{
		"rapid.seed":       orDefault(seedVariable, defaultSeed),
		"rapid.checks":     orDefault(checksVariable, defaultChecks),
		"rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	return m.Run()
}

func orDefault(variable, fallback string) string {
	if v := os.Getenv(variable); v != "" {
		return v
	}
	return fallback
}
