package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"mangowing/core/fleet"
	"mangowing/core/proc"
	"mangowing/gate/daemon/queue"
	"mangowing/gate/daemon/state"
	"mangowing/gate/daemon/vmlist"
	"mangowing/gate/plat"
)

const (
	demandPeriod  = 2 * time.Second
	demandTimeout = time.Second
	ackTimeout    = 2 * time.Second
)

var errVMUnknown = eris.New("the VM is not in the VM list")

// fleetView provides the planner with the VM list and the VMs' health, drain state and demand.
type fleetView struct {
	process *proc.Process
	control *state.Service
	vms     *vmlist.Service
	queues  *queue.Service
	workers *plat.Workers
	rows    atomic.Pointer[fleetRows]
	demand  atomic.Pointer[[]queue.PoolDemand]
}

type fleetRows struct {
	list *vmlist.List
	rows []fleet.VMRow
}

// Serve collects the demand from all gates while this gate holds the planner's lease, until the context ends.
func (f *fleetView) Serve(ctx context.Context) error {
	return f.process.Timers().RunEvery(ctx, demandPeriod, f.gatherDemand)
}

func (f *fleetView) gatherDemand(ctx context.Context) {
	if f.control.State().Lease().Holder() != f.process.Incarnation() {
		f.demand.Store(nil)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, demandTimeout)
	defer cancel()
	found := f.queues.GatherDemand(ctx)
	f.demand.Store(&found)
}

// VMRows returns the VM list as rows. It returns the same slice until the list changes.
func (f *fleetView) VMRows() []fleet.VMRow {
	list := f.vms.List()
	if cached := f.rows.Load(); cached != nil && cached.list == list {
		return cached.rows
	}
	rows := make([]fleet.VMRow, 0, list.Len())
	for _, name := range list.Names() {
		vm, _ := list.VM(name)
		rows = append(rows, fleet.NewVMRow(fleet.VMRowSpec{
			Name: name, DataCentre: vm.DataCentre(), Rack: vm.Rack(), Generation: vm.Generation(),
			State: vm.State(), Pool: vm.Pool(), Slots: vm.Slots(),
		}))
	}
	f.rows.Store(&fleetRows{list, rows})
	return rows
}

// DrainAcks returns whether every gate of the VM's data centre has stopped sending requests to the VM, and how many
// requests still run there.
func (f *fleetView) DrainAcks(ctx context.Context, vm string, revision uint64) (acknowledged bool, running int, err error) {
	row, ok := f.vms.List().VM(vm)
	if !ok {
		return false, 0, errVMUnknown
	}
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	acknowledged, outstanding := f.queues.DrainAcks(ctx, vm, row.DataCentre(), revision)
	if !acknowledged || outstanding > 0 {
		return acknowledged, outstanding, nil
	}
	report, err := f.workers.Running(ctx, row.Address())
	if err != nil {
		return acknowledged, 0, err
	}
	return acknowledged, len(report.Requests()), nil
}

// Health returns the VMs that dispatchers have ejected because they failed or could not be reached.
func (f *fleetView) Health() []fleet.Health {
	var out []fleet.Health
	for _, d := range f.poolDemand() {
		for _, vm := range d.Ejected() {
			out = append(out, fleet.NewHealth(vm, true, false))
		}
	}
	return out
}

// Demand returns each pool's demand, added up over its dispatchers. Only the total, PoolDemand.Slots, is exact: Running also
// counts requests that wait at all but the last dispatcher.
func (f *fleetView) Demand() []fleet.PoolDemand {
	totals := map[string]fleet.PoolDemand{}
	var order []string
	for _, d := range f.poolDemand() {
		total, known := totals[d.Pool()]
		if !known {
			order = append(order, d.Pool())
		}
		totals[d.Pool()] = fleet.NewPoolDemand(d.Pool(), total.Slots()+d.Running(), d.Waiting())
	}
	out := make([]fleet.PoolDemand, 0, len(order))
	for _, pool := range order {
		out = append(out, totals[pool])
	}
	return out
}

func (f *fleetView) poolDemand() []queue.PoolDemand {
	found := f.demand.Load()
	if found == nil {
		return nil
	}
	return *found
}
