package queue

import (
	"sync"
	"sync/atomic"

	"mangowing/core/fold"
	"mangowing/core/route"
	"mangowing/gate/daemon/vmlist"
	"mangowing/gate/plat"
)

// placement is an immutable index of the VMs that serve each pool in each data centre.
type placement struct {
	serving map[poolKey][]route.Target
}

type poolKey struct {
	pool       string
	dataCentre string
}

func (p *placement) targets(pool, dataCentre string) []route.Target {
	return p.serving[poolKey{pool, dataCentre}]
}

func buildPlacement(state *fold.State, list *vmlist.List) *placement {
	p := &placement{serving: map[poolKey][]route.Target{}}
	for _, name := range list.Names() {
		vm, _ := list.VM(name)
		agreed := state.VM(name)
		if vm.State() != plat.VMLive || agreed.State() != fold.VMServing || agreed.Pool() == "" {
			continue
		}
		key := poolKey{agreed.Pool(), vm.DataCentre()}
		p.serving[key] = append(p.serving[key], route.NewTarget(name, vm.Address(), vm.Slots(), vm.Connections()))
	}
	return p
}

// placements rebuilds the index when the state or the VM list changed.
type placements struct {
	mu      sync.Mutex
	state   *fold.State
	list    *vmlist.List
	current atomic.Pointer[placement]
}

func (p *placements) load() *placement { return p.current.Load() }

func (p *placements) rebuild(state *fold.State, list *vmlist.List) *placement {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state == state && p.list == list {
		return p.load()
	}
	next := buildPlacement(state, list)
	p.current.Store(next)
	p.state, p.list = state, list
	return next
}
