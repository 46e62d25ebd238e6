package queue

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"mangowing/gate/plat"
)

// reclaimAll ends the grants that nobody will release, as soon as the VM's own report shows that the work has ended.
func (s *Service) reclaimAll(ctx context.Context) {
	for _, d := range s.all() {
		reply := make(chan []outstanding, 1)
		d.commands <- unsureCommand{reply}
		byVM := map[string][]outstanding{}
		for _, g := range <-reply {
			if s.mayHaveEnded(g) {
				byVM[g.vm] = append(byVM[g.vm], g)
			}
		}
		for vm, grants := range byVM {
			s.reclaimOn(ctx, d, vm, grants)
		}
	}
}

// mayHaveEnded keeps the reports out that could have been made before the holder's last moment to start.
func (s *Service) mayHaveEnded(g outstanding) bool {
	return time.Since(g.granted) > StartWindow+s.reportLag
}

func (s *Service) reclaimOn(ctx context.Context, d *dispatcher, vm string, grants []outstanding) {
	gone := s.vmIsGone(vm)
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

// vmIsGone tells whether the VM list dropped the VM; its work ended with it.
func (s *Service) vmIsGone(name string) bool {
	vm, ok := s.lists.List().VM(name)
	return !ok || vm.State() == plat.VMGone
}
