package figures

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"
)

// variable is the environment variable that asks for the measurements.
const variable = "FIGURES"

// None stands for a figure without a target or a baseline.
const None = "-"

// Need skips a test unless measurements are asked for.
func Need(t *testing.T) {
	t.Helper()
	if os.Getenv(variable) == "" {
		t.Skip("set " + variable + "=1 to measure")
	}
}

// Print writes one row of the table of figures.
func Print(name, value, target, baseline string) {
	fmt.Printf("FIGURE | %s | %s | %s | %s |\n", name, value, target, baseline)
}

// Quantile returns the value below which a share of the values lies, or zero when there are none; it sorts the values.
func Quantile(values []time.Duration, share float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(int(float64(len(values))*share), len(values)-1)]
}
