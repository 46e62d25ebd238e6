package trial

import (
	"fmt"
	"time"

	"mangowing/core/fleet"
	"mangowing/core/fold"
	"mangowing/core/record"
	"mangowing/core/sizing"
)

const (
	ackDelay         = 3 * time.Second
	workDuration     = 5 * time.Second
	reassignDuration = 15 * time.Second
	rebootDuration   = 90 * time.Second
	rackOutage       = 10 * time.Minute
	sizingPeriod     = 5                   // seconds
	rackFailureDelay = 300                 // seconds
	startMs          = 12 * 60 * 60 * 1000 // noon
)

// scenario is one policy with the conditions under which it runs.
type scenario struct {
	name        string
	policy      sizing.Policy
	vmsPerPool  int // declared
	minServing  int
	waveMinimum int
	pace        int
	runsWave    bool // run a maintenance pass and measure until it ends
	waveStart   int  // second at which the pass starts
	rackFails   bool // a rack is lost during the pass
	noDemand    bool
}

// simulation runs the fold, the planner and a policy on a trace, with a simulated platform that executes orders with delay.
type simulation struct {
	user      user
	scenario  scenario
	trace     trace
	folder    *fold.Folder
	state     *fold.State
	second    int
	rows      []fleet.VMRow
	rowIndex  map[string]int
	scheduled map[int][]func()
	requested map[string]bool
	answered  fleet.RequestIDs
	index     *fleet.Index
	forecast  sizing.Forecast
	result    result
}

// result holds the measurements of one run.
type result struct {
	shortfall   int           // slot-seconds
	idleSeconds float64       // idle VM-seconds outside the spare pool
	moves       int           // completed moves
	minServing  int           // fewest VMs serving in any pool
	rollOut     time.Duration // of the whole pass, 0 if it did not end
}

func newSimulation(u user, sc scenario, t trace) *simulation {
	sim := &simulation{
		user: u, scenario: sc, trace: t, folder: fold.NewFolder(), rowIndex: map[string]int{},
		scheduled: map[int][]func(){}, requested: map[string]bool{}, result: result{minServing: sc.vmsPerPool},
	}
	sim.appendRecords(record.NewChange(u.objects(sc), ""), record.NewLease("gate", 0, time.Minute.Milliseconds()))
	for _, pool := range u.pools {
		for i := range sc.vmsPerPool {
			n := len(sim.rows)
			sim.rowIndex[vmName(pool, i)] = n
			sim.rows = append(sim.rows, fleet.NewVMRow(fleet.VMRowSpec{
				Name: vmName(pool, i), DataCentre: string(rune('a' + n/vmsPerRack%3)), Rack: fmt.Sprint("rack-", n/vmsPerRack),
				Generation: 1, State: fleet.PlatformLive, Pool: pool, Slots: slotsPerVM,
			}))
		}
	}
	return sim
}

func (sim *simulation) nowMs() int64 { return startMs + int64(sim.second)*1000 }

func (sim *simulation) appendRecords(bodies ...record.Body) {
	var records []record.Record
	for _, body := range bodies {
		records = append(records, record.New("trial", sim.nowMs(), body))
	}
	data, err := record.EncodeBatch(records)
	if err == nil {
		_, err = sim.folder.Apply(sim.folder.Offset()+1, data)
	}
	if err != nil {
		panic(err)
	}
	sim.state = sim.folder.Publish()
	sim.index = nil
}

func (sim *simulation) schedule(d time.Duration, effect func()) {
	at := sim.second + int(d.Seconds())
	sim.scheduled[at] = append(sim.scheduled[at], effect)
}

// updateRow replaces one row in a copy of the list, since a list passed to an index must not change.
func (sim *simulation) updateRow(vm string, edit func(*fleet.VMRowSpec)) {
	rows := append([]fleet.VMRow(nil), sim.rows...)
	r := rows[sim.rowIndex[vm]]
	spec := fleet.VMRowSpec{
		Name: r.Name(), DataCentre: r.DataCentre(), Rack: r.Rack(), Generation: r.Generation(),
		State: r.State(), Pool: r.Pool(), Slots: r.Slots(),
	}
	edit(&spec)
	rows[sim.rowIndex[vm]] = fleet.NewVMRow(spec)
	sim.rows, sim.index = rows, nil
}

// run simulates the trace up to the end of the pass, or all of it.
func (sim *simulation) run() result {
	for sim.second = 0; sim.second < sim.trace.seconds() && sim.result.rollOut == 0; sim.second++ {
		sim.injectEvents()
		for _, effect := range sim.scheduled[sim.second] {
			effect()
		}
		delete(sim.scheduled, sim.second)
		sim.plan()
		sim.measure()
	}
	return sim.result
}

// injectEvents starts the pass, resetting the measurements, and fails a rack during the pass.
func (sim *simulation) injectEvents() {
	if sim.scenario.runsWave && sim.second == sim.scenario.waveStart {
		sim.result = result{minServing: sim.scenario.vmsPerPool}
		sim.appendRecords(record.NewWaveStep("pass", 0, fold.WaveRunning, "", 0))
	}
	if sim.scenario.rackFails && sim.second == sim.scenario.waveStart+rackFailureDelay {
		sim.failRack()
	}
}

func (sim *simulation) failRack() {
	for _, row := range sim.rows {
		if row.Rack() != "rack-3" {
			continue
		}
		sim.updateRow(row.Name(), func(s *fleet.VMRowSpec) { s.State = fleet.PlatformGone })
		sim.schedule(rackOutage, func() {
			sim.updateRow(row.Name(), func(s *fleet.VMRowSpec) { s.State, s.Generation = fleet.PlatformLive, s.Generation+1 })
		})
	}
}

func (sim *simulation) plan() {
	if sim.index == nil {
		sim.index = fleet.NewIndex(sim.state, sim.rows)
	}
	v := fleet.PlanInput{Index: sim.index, Token: sim.state.Lease().Token(), NowMs: sim.nowMs(), AnsweredCalls: &sim.answered}
	for _, name := range sim.index.DrainingVMs() {
		vm := sim.state.VM(name)
		age := time.Duration(sim.nowMs()-vm.SinceMs()) * time.Millisecond
		running := 1
		if age >= workDuration {
			running = 0
		}
		v.DrainAcks = append(v.DrainAcks, fleet.NewDrainAck(name, vm.Revision(), age >= ackDelay, running))
	}
	if sim.second%sizingPeriod == 0 && !sim.scenario.noDemand {
		v.Transfers = sim.transfers(v)
	}
	sim.execute(fleet.Plan(v))
}

func (sim *simulation) demand(pool int) int {
	if sim.scenario.noDemand {
		return 0
	}
	return sim.trace.slots[pool][sim.second]
}

func (sim *simulation) transfers(v fleet.PlanInput) []fleet.Transfer {
	var demand []fleet.PoolDemand
	for i, pool := range sim.user.pools {
		running := min(sim.demand(i), sim.serving()[pool]*slotsPerVM)
		demand = append(demand, fleet.NewPoolDemand(pool, running, sim.demand(i)-running))
	}
	loads := sim.forecast.Update(time.UnixMilli(sim.nowMs()), fleet.PoolLoads(v), demand)
	return sizing.Decide(sim.scenario.policy, loads, sim.user.spare())
}

func (sim *simulation) execute(actions []fleet.Action) {
	var steps []record.Body
	for _, action := range actions {
		switch a := action.(type) {
		case fleet.VMStep:
			if a.Spec().State == fold.VMServing && sim.state.VM(a.Spec().VM).State() == fold.VMMoving {
				sim.result.moves++
			}
			steps = append(steps, record.NewVMStep(a.Spec()))
		case fleet.WaveStep:
			sim.recordWaveEnd(a.Record())
			steps = append(steps, a.Record())
		case fleet.Reboot:
			sim.callPlatform(a.RequestID(), 0, func() { sim.reboot(a.VM()) })
		case fleet.Reassign:
			sim.callPlatform(a.RequestID(), reassignDuration, func() { sim.updateRow(a.VM(), func(s *fleet.VMRowSpec) { s.Pool = a.Pool() }) })
		case fleet.Fence:
			sim.callPlatform(a.RequestID(), 0, func() {})
		}
	}
	if len(steps) > 0 {
		sim.appendRecords(steps...)
	}
}

func (sim *simulation) recordWaveEnd(step record.WaveStep) {
	if step.State() == fold.WaveDone {
		sim.result.rollOut = time.Duration(sim.second-sim.scenario.waveStart) * time.Second
	}
}

func (sim *simulation) callPlatform(requestID string, takes time.Duration, effect func()) {
	if sim.requested[requestID] {
		return
	}
	sim.requested[requestID] = true
	sim.schedule(takes+time.Second, func() {
		effect()
		sim.answered.Add(requestID)
	})
}

func (sim *simulation) reboot(vm string) {
	sim.schedule(rebootDuration, func() { sim.updateRow(vm, func(s *fleet.VMRowSpec) { s.Generation++ }) })
}

// serving counts the VMs that serve each pool.
func (sim *simulation) serving() map[string]int {
	out := map[string]int{}
	for _, row := range sim.rows {
		vm := sim.state.VM(row.Name())
		if vm.State() == fold.VMServing && row.State() == fleet.PlatformLive {
			out[vm.Pool()]++
		}
	}
	return out
}

func (sim *simulation) measure() {
	serving := sim.serving()
	for i, pool := range sim.user.pools {
		capacity := serving[pool] * slotsPerVM
		sim.result.shortfall += max(0, sim.demand(i)-capacity)
		sim.result.minServing = min(sim.result.minServing, serving[pool])
		if pool != sim.user.spare() {
			sim.result.idleSeconds += float64(max(0, capacity-sim.demand(i))) / slotsPerVM
		}
	}
}
