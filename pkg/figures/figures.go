package figures

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"
)

// envVariable is the environment variable that enables measurement tests.
const envVariable = "FIGURES"

// NoValue is the target or baseline of a figure that has none.
const NoValue = "-"

// SkipUnlessEnabled skips the test unless measurement tests are enabled.
func SkipUnlessEnabled(t *testing.T) {
	t.Helper()
	if os.Getenv(envVariable) == "" {
		t.Skip("set " + envVariable + "=1 to measure")
	}
}

// Print writes one row of the table of figures.
func Print(name, value, target, baseline string) {
	fmt.Printf("FIGURE | %s | %s | %s | %s |\n", name, value, target, baseline)
}

// Quantile returns the quantile of the values for a fraction from 0 to 1, or zero if there are no values. It sorts values in place.
func Quantile(values []time.Duration, fraction float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(int(float64(len(values))*fraction), len(values)-1)]
}
