package daemon

import (
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"mangowing/core/rights"
	"mangowing/gate/daemon/state"
	"mangowing/gate/daemon/vmlist"
	"mangowing/gate/plat"
)

const (
	maxOrphanCalls = 16
	orphanTimeout  = time.Second
)

// orphanCounter counts the requests on the data centre's VMs that run under the rights of gates that are gone.
type orphanCounter struct {
	control    *state.Service
	vms        *vmlist.Service
	workers    *plat.Workers
	dataCentre string
}

// Orphans returns, per team, the number of running requests whose right was acquired by none of the counted incarnations.
// For a VM that does not answer it assumes the worst case, that every team runs such requests in all of the VM's slots,
// so that an unresponsive VM does not block a recount.
func (o *orphanCounter) Orphans(ctx context.Context, counted []string) ([]rights.TeamCount, error) {
	sum := &teamCounts{counts: map[string]int{}}
	var wg sync.WaitGroup
	callSlots := make(chan struct{}, maxOrphanCalls)
	for _, vm := range o.vmsToCount() {
		callSlots <- struct{}{}
		wg.Go(func() {
			defer func() { <-callSlots }()
			o.countAt(ctx, vm, counted, sum)
		})
	}
	wg.Wait()
	return sum.list(), ctx.Err()
}

func (o *orphanCounter) vmsToCount() []plat.VM {
	var out []plat.VM
	list := o.vms.List()
	for _, name := range list.Names() {
		vm, _ := list.VM(name)
		if vm.DataCentre() == o.dataCentre && vm.State() != plat.VMGone {
			out = append(out, vm)
		}
	}
	return out
}

func (o *orphanCounter) countAt(ctx context.Context, vm plat.VM, counted []string, sum *teamCounts) {
	ctx, cancel := context.WithTimeout(ctx, orphanTimeout)
	defer cancel()
	report, err := o.workers.Running(ctx, vm.Address())
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return
	case err != nil:
		klog.InfoS("worker-silent-in-recount", "vm", vm.Name())
		for _, team := range o.control.State().Config().Teams() {
			sum.add(team, vm.Slots())
		}
		return
	}
	for _, r := range report.Requests() {
		if !slices.Contains(counted, r.Gate()) {
			sum.add(r.Team(), 1)
		}
	}
}

type teamCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

func (s *teamCounts) add(team string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[team] += n
}

func (s *teamCounts) list() []rights.TeamCount {
	out := make([]rights.TeamCount, 0, len(s.counts))
	for team, n := range s.counts {
		out = append(out, rights.NewTeamCount(team, n))
	}
	return out
}
