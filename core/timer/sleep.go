package timer

import (
	"context"
	"time"
)

// Sleep returns after the given time or when the context ends, whichever comes first.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
