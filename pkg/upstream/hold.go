package upstream

import (
	"context"

	"github.com/azuretiller/azuretiller/pkg/bytebudget"
)

// hold is something that a response occupies until a context ends.
type hold struct {
	release func()
	// stop keeps release from being called, and reports whether it does.
	stop func() bool
}

type holds []hold

func (h *holds) add(ctx context.Context, release func()) {
	*h = append(*h, hold{release, context.AfterFunc(ctx, release)})
}

// reserve takes n bytes of a budget until the context ends, and reports whether they were left.
func (h *holds) reserve(ctx context.Context, budget *bytebudget.Budget, n int64) bool {
	if !budget.Take(n) {
		return false
	}
	h.add(ctx, func() { budget.Put(n) })
	return true
}

// Hold calls a function when the context ends, or instead the one that is given to KeepUntil.
func (r *Response) Hold(ctx context.Context, release func()) { r.held.add(ctx, release) }

// KeepUntil keeps the connection of RemainingBody open, and the response in the budgets, until the given context ends, instead of that of Send. It has
// no effect if that one has ended.
func (r *Response) KeepUntil(ctx context.Context) {
	for i := range r.held {
		if h := &r.held[i]; h.stop() {
			h.stop = context.AfterFunc(ctx, h.release)
		}
	}
}
