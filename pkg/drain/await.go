package drain

import (
	"context"
	"time"

	"github.com/azuretiller/azuretiller/pkg/timer"
)

// endPollInterval is shorter than pollInterval, since little time is left when connections have been closed.
const endPollInterval = time.Millisecond

// AwaitEnds waits until the requests whose connections were closed have ended, and reports false if the context ends before.
func AwaitEnds(ctx context.Context, running func() int) bool {
	return awaitQuiet(ctx, running, endPollInterval, 1)
}

// awaitQuiet waits until no request was running at the given number of polls in a row, and reports false if the context ends before.
func awaitQuiet(ctx context.Context, running func() int, interval time.Duration, polls int) bool {
	for quiet := 0; ; timer.Sleep(ctx, interval) {
		if running() > 0 {
			quiet = 0
		} else {
			quiet++
		}
		if quiet == polls {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
	}
}
