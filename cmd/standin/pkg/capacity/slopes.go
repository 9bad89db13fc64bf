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

// tolerance is the ratio by which a figure of the page may differ from a new measurement, as the machine is noisy.
const tolerance = 1.6

// Slope is a measured figure with the name under which the page quotes it.
type Slope struct {
	Name  string
	Value float64
	Unit  string
}

// Measure measures all slopes and prints each as it is found.
func Measure(ctx context.Context, out io.Writer) ([]Slope, error) {
	var slopes []Slope
	add := func(found ...Slope) {
		for _, s := range found {
			_, _ = fmt.Fprintf(out, "%-28s %12.2f %s\n", s.Name, s.Value, s.Unit)
		}
		slopes = append(slopes, found...)
	}
	for _, zones := range []int{2, 4, 8, 16} {
		found, err := idle(ctx, 4*zones, zones)
		if err != nil {
			return nil, err
		}
		add(found...)
	}
	add(settings()...)
	add(decisions()...)
	found, err := requests(ctx)
	if err != nil {
		return nil, err
	}
	add(found...)
	return slopes, nil
}

// idle measures VMs that have no callers.
func idle(ctx context.Context, vms, zones int) ([]Slope, error) {
	const span = 10 * time.Second
	cost, err := demo.MeasureIdle(ctx, vms, zones, span)
	if err != nil {
		return nil, errors.Wrapf(err, "measure %d VMs", vms)
	}
	name := func(what string) string { return fmt.Sprintf("%s_%d", what, vms) }
	return []Slope{
		{name("peer_bytes"), cost.PeerBytes, "bytes a second a VM, written"},
		{name("control_cpu"), cost.CPU * 100, "% of a core a VM"},
		{name("heap"), cost.Heap / 1e6, "MB a VM"},
	}, nil
}

// Check compares the figures that a page quotes as `name = value` in comments with new ones.
func Check(page string, slopes []Slope) error {
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
	for _, s := range slopes {
		old, ok := quoted[s.Name]
		if !ok {
			return errors.Newf("the page does not quote the slope %s = %.2f", s.Name, s.Value)
		}
		if s.Value > old*tolerance || s.Value < old/tolerance {
			return errors.Newf("slope %s is %.2f now and %.2f on the page", s.Name, s.Value, old)
		}
	}
	return nil
}
