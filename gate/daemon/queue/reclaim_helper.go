package queue

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"mangowing/gate/plat"
)

// reclaimGrants ends the grants that their holders may never release, once the VM's own report shows that the work has
// ended.
func (s *Service) reclaimGrants(ctx context.Context) {
	for _, d := range s.allDispatchers() {
		reply := make(chan []outstandingGrant, 1)
		d.commands <- reclaimableCommand{reply}
		byVM := map[string][]outstandingGrant{}
		for _, g := range <-reply {
			if s.canReclaim(g) {
				byVM[g.vm] = append(byVM[g.vm], g)
			}
		}
		for vm, grants := range byVM {
			s.reclaimOn(ctx, d, vm, grants)
		}
	}
}

// canReclaim reports whether a worker's report received now is conclusive: it must have been made after the holder's last
// moment to start the work.
func (s *Service) canReclaim(g outstandingGrant) bool {
	return time.Since(g.grantedAt) > StartWindow+s.reportLag
}

func (s *Service) reclaimOn(ctx context.Context, d *dispatcher, vm string, grants []outstandingGrant) {
	gone := s.isVMGone(vm)
	running := map[string]bool{}
	if !gone {
		ctx, cancel := context.WithTimeout(ctx, workerTimeout)
		defer cancel()
		report, err := s.workers.Running(ctx, grants[0].address)
		if err != nil {
			klog.V(1).InfoS("worker-report-failed", "vm", vm, "error", err.Error())
			return
		}
		for _, r := range report.Requests() {
			running[r.RequestID()] = true
		}
	}
	for _, g := range grants {
		if !running[g.request] {
			d.commands <- reclaimCommand{g.request}
		}
	}
}

// isVMGone reports whether the VM is no longer in the VM list, or gone; its work has ended with it.
func (s *Service) isVMGone(name string) bool {
	vm, ok := s.lists.List().VM(name)
	return !ok || vm.State() == plat.VMGone
}
