package plan

import (
	"context"
	"sync"
	"time"

	"mangowing/core/fleet"
)

const (
	ackTimeout = time.Second
	// If the number of running requests is unknown, the VM must not count as drained.
	unknownRunning = 1
)

// collectAcks queries the drain acknowledgements of all draining VMs in parallel.
func (s *Service) collectAcks(ctx context.Context, x *fleet.Index) []fleet.DrainAck {
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	var (
		mu  sync.Mutex
		wg  sync.WaitGroup
		out []fleet.DrainAck
	)
	for _, vm := range x.DrainingVMs() {
		revision := x.State().VM(vm).Revision()
		wg.Go(func() {
			all, running, err := s.deps.Fleet.DrainAcks(ctx, vm, revision)
			if err != nil {
				running = unknownRunning
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, fleet.NewDrainAck(vm, revision, all, running))
		})
	}
	wg.Wait()
	return out
}
