package queue

import (
	"sync"
	"sync/atomic"

	"mangowing/core/fold"
	"mangowing/core/route"
	"mangowing/gate/daemon/vmlist"
	"mangowing/gate/plat"
)

// servingIndex is an immutable index of the VMs that serve each pool in each data centre.
type servingIndex struct {
	targetsByPool map[poolKey][]route.Target
}

type poolKey struct {
	pool       string
	dataCentre string
}

func (x *servingIndex) targets(pool, dataCentre string) []route.Target {
	return x.targetsByPool[poolKey{pool, dataCentre}]
}

func buildServingIndex(state *fold.State, list *vmlist.List) *servingIndex {
	p := &servingIndex{targetsByPool: map[poolKey][]route.Target{}}
	for _, name := range list.Names() {
		vm, _ := list.VM(name)
		folded := state.VM(name)
		if vm.State() != plat.VMLive || folded.State() != fold.VMServing || folded.Pool() == "" {
			continue
		}
		key := poolKey{folded.Pool(), vm.DataCentre()}
		p.targetsByPool[key] = append(p.targetsByPool[key], route.NewTarget(name, vm.Address(), vm.Slots(), vm.Connections()))
	}
	return p
}

// indexCache holds the current servingIndex and rebuilds it when the state or the VM list has changed.
type indexCache struct {
	mu      sync.Mutex
	state   *fold.State
	list    *vmlist.List
	current atomic.Pointer[servingIndex]
}

func (c *indexCache) load() *servingIndex { return c.current.Load() }

func (c *indexCache) rebuild(state *fold.State, list *vmlist.List) *servingIndex {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == state && c.list == list {
		return c.load()
	}
	next := buildServingIndex(state, list)
	c.current.Store(next)
	c.state, c.list = state, list
	return next
}
