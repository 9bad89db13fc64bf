package capacity

import (
	"context"
	"fmt"
	"io"
	"os"
	"regexp"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller/cmd/standin/pkg/demo"
)

// toleranceRatio is the factor by which a figure on the page may differ from a new measurement. Other load on the host makes
// measurements vary.
const toleranceRatio = 1.6

// Figure is a measured value. The capacity page quotes it as a slope with this name.
type Figure struct {
	Name  string
	Value float64
	Unit  string
}

// Measure measures all figures and prints each one as soon as it is measured.
func Measure(ctx context.Context, out io.Writer) ([]Figure, error) {
	var figures []Figure
	add := func(measured ...Figure) {
		for _, f := range measured {
			_, _ = fmt.Fprintf(out, "%-28s %12.2f %s\n", f.Name, f.Value, f.Unit)
		}
		figures = append(figures, measured...)
	}
	for _, zones := range []int{2, 4, 8, 16} {
		measured, err := idleFigures(ctx, 4*zones, zones)
		if err != nil {
			return nil, err
		}
		add(measured...)
	}
	add(settingsFigures()...)
	add(sharedStateFigures()...)
	measured, err := requestFigures(ctx)
	if err != nil {
		return nil, err
	}
	add(measured...)
	return figures, nil
}

// idleFigures measures VMs without callers.
func idleFigures(ctx context.Context, vms, zones int) ([]Figure, error) {
	const span = 10 * time.Second
	cost, err := demo.MeasureIdle(ctx, vms, zones, span)
	if err != nil {
		return nil, errors.Wrapf(err, "measure the resource use of %d idle VMs", vms)
	}
	name := func(prefix string) string { return fmt.Sprintf("%s_%d", prefix, vms) }
	return []Figure{
		{name("peer_bytes"), cost.PeerBytesPerSecond, "bytes a second a VM, written"},
		{name("control_cpu"), cost.CPUCores * 100, "% of a core a VM"},
		{name("heap"), cost.HeapBytes / 1e6, "MB a VM"},
	}, nil
}

// Check compares new figures with those that a page quotes in comments of the form `slope: name = value`.
func Check(page string, figures []Figure) error {
	data, err := os.ReadFile(page)
	if err != nil {
		return errors.Wrap(err, "read page")
	}
	quoted := map[string]float64{}
	for _, m := range regexp.MustCompile(`<!-- slope: (\w+) = ([0-9.]+) -->`).FindAllStringSubmatch(string(data), -1) {
		quoted[m[1]], err = strconv.ParseFloat(m[2], 64)
		if err != nil {
			return errors.Wrapf(err, "read slope %s", m[1])
		}
	}
	for _, f := range figures {
		old, ok := quoted[f.Name]
		if !ok {
			return errors.Newf("the page does not quote the slope %s = %.2f", f.Name, f.Value)
		}
		if f.Value > old*toleranceRatio || f.Value < old/toleranceRatio {
			return errors.Newf("slope %s is %.2f now and %.2f on the page", f.Name, f.Value, old)
		}
	}
	return nil
}
