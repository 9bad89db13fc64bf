package demo

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkRequests measures the processor time and the latency that the fleet adds to a request.
func BenchmarkRequests(b *testing.B) {
	for b.Loop() {
		cost, err := MeasureRequests(b.Context())
		require.NoError(b, err)
		b.ReportMetric(float64(cost.CPU.Microseconds()), "us-cpu/request")
		b.ReportMetric(float64(cost.P50.Microseconds()), "us-added-p50")
		b.ReportMetric(float64(cost.P99.Microseconds()), "us-added-p99")
	}
}
