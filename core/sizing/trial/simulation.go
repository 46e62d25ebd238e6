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

func newSimulation(u user, o scenario, t trace) *simulation {
	w := &simulation{
		user: u, scenario: o, trace: t, folder: fold.NewFolder(), rowIndex: map[string]int{},
		scheduled: map[int][]func(){}, requested: map[string]bool{}, result: result{minServing: o.vmsPerPool},
	}
	w.appendRecords(record.NewChange(u.objects(o), ""), record.NewLease("gate", 0, time.Minute.Milliseconds()))
	for _, pool := range u.pools {
		for i := range o.vmsPerPool {
			n := len(w.rows)
			w.rowIndex[vmName(pool, i)] = n
			w.rows = append(w.rows, fleet.NewVMRow(fleet.VMRowSpec{
				Name: vmName(pool, i), DataCentre: string(rune('a' + n/vmsPerRack%3)), Rack: fmt.Sprint("rack-", n/vmsPerRack),
				Generation: 1, State: fleet.PlatformLive, Pool: pool, Slots: slotsPerVM,
			}))
		}
	}
	return w
}

func (w *simulation) nowMs() int64 { return startMs + int64(w.second)*1000 }

func (w *simulation) appendRecords(bodies ...record.Body) {
	var records []record.Record
	for _, body := range bodies {
		records = append(records, record.New("trial", w.nowMs(), body))
	}
	data, err := record.EncodeBatch(records)
	if err == nil {
		_, err = w.folder.Apply(w.folder.Offset()+1, data)
	}
	if err != nil {
		panic(err)
	}
	w.state = w.folder.Publish()
	w.index = nil
}

func (w *simulation) schedule(d time.Duration, effect func()) {
	at := w.second + int(d.Seconds())
	w.scheduled[at] = append(w.scheduled[at], effect)
}

// updateRow replaces one row in a copy of the list, since a list passed to an index must not change.
func (w *simulation) updateRow(vm string, edit func(*fleet.VMRowSpec)) {
	rows := append([]fleet.VMRow(nil), w.rows...)
	r := rows[w.rowIndex[vm]]
	spec := fleet.VMRowSpec{
		Name: r.Name(), DataCentre: r.DataCentre(), Rack: r.Rack(), Generation: r.Generation(),
		State: r.State(), Pool: r.Pool(), Slots: r.Slots(),
	}
	edit(&spec)
	rows[w.rowIndex[vm]] = fleet.NewVMRow(spec)
	w.rows, w.index = rows, nil
}

// run simulates the trace up to the end of the pass, or all of it.
func (w *simulation) run() result {
	for w.second = 0; w.second < w.trace.seconds() && w.result.rollOut == 0; w.second++ {
		w.injectEvents()
		for _, effect := range w.scheduled[w.second] {
			effect()
		}
		delete(w.scheduled, w.second)
		w.plan()
		w.measure()
	}
	return w.result
}

// injectEvents starts the pass, resetting the measurements, and fails a rack during the pass.
func (w *simulation) injectEvents() {
	if w.scenario.runsWave && w.second == w.scenario.waveStart {
		w.result = result{minServing: w.scenario.vmsPerPool}
		w.appendRecords(record.NewWaveStep("pass", 0, fold.WaveRunning, "", 0))
	}
	if w.scenario.rackFails && w.second == w.scenario.waveStart+rackFailureDelay {
		w.failRack()
	}
}

func (w *simulation) failRack() {
	for _, row := range w.rows {
		if row.Rack() != "rack-3" {
			continue
		}
		w.updateRow(row.Name(), func(s *fleet.VMRowSpec) { s.State = fleet.PlatformGone })
		w.schedule(rackOutage, func() {
			w.updateRow(row.Name(), func(s *fleet.VMRowSpec) { s.State, s.Generation = fleet.PlatformLive, s.Generation+1 })
		})
	}
}

func (w *simulation) plan() {
	if w.index == nil {
		w.index = fleet.NewIndex(w.state, w.rows)
	}
	v := fleet.PlanInput{Index: w.index, Token: w.state.Lease().Token(), NowMs: w.nowMs(), AnsweredCalls: &w.answered}
	for _, name := range w.index.DrainingVMs() {
		vm := w.state.VM(name)
		age := time.Duration(w.nowMs()-vm.SinceMs()) * time.Millisecond
		running := 1
		if age >= workDuration {
			running = 0
		}
		v.DrainAcks = append(v.DrainAcks, fleet.NewDrainAck(name, vm.Revision(), age >= ackDelay, running))
	}
	if w.second%sizingPeriod == 0 && !w.scenario.noDemand {
		v.Transfers = w.transfers(v)
	}
	w.execute(fleet.Plan(v))
}

func (w *simulation) demand(pool int) int {
	if w.scenario.noDemand {
		return 0
	}
	return w.trace.slots[pool][w.second]
}

func (w *simulation) transfers(v fleet.PlanInput) []fleet.Transfer {
	var demand []fleet.PoolDemand
	for i, pool := range w.user.pools {
		running := min(w.demand(i), w.serving()[pool]*slotsPerVM)
		demand = append(demand, fleet.NewPoolDemand(pool, running, w.demand(i)-running))
	}
	loads := w.forecast.Update(time.UnixMilli(w.nowMs()), fleet.PoolLoads(v), demand)
	return sizing.Decide(w.scenario.policy, loads, w.user.spare())
}

func (w *simulation) execute(actions []fleet.Action) {
	var steps []record.Body
	for _, action := range actions {
		switch a := action.(type) {
		case fleet.VMStep:
			if a.Spec().State == fold.VMServing && w.state.VM(a.Spec().VM).State() == fold.VMMoving {
				w.result.moves++
			}
			steps = append(steps, record.NewVMStep(a.Spec()))
		case fleet.WaveStep:
			w.recordWaveEnd(a.Record())
			steps = append(steps, a.Record())
		case fleet.Reboot:
			w.callPlatform(a.RequestID(), 0, func() { w.reboot(a.VM()) })
		case fleet.Reassign:
			w.callPlatform(a.RequestID(), reassignDuration, func() { w.updateRow(a.VM(), func(s *fleet.VMRowSpec) { s.Pool = a.Pool() }) })
		case fleet.Fence:
			w.callPlatform(a.RequestID(), 0, func() {})
		}
	}
	if len(steps) > 0 {
		w.appendRecords(steps...)
	}
}

func (w *simulation) recordWaveEnd(step record.WaveStep) {
	if step.State() == fold.WaveDone {
		w.result.rollOut = time.Duration(w.second-w.scenario.waveStart) * time.Second
	}
}

func (w *simulation) callPlatform(requestID string, takes time.Duration, effect func()) {
	if w.requested[requestID] {
		return
	}
	w.requested[requestID] = true
	w.schedule(takes+time.Second, func() {
		effect()
		w.answered.Add(requestID)
	})
}

func (w *simulation) reboot(vm string) {
	w.schedule(rebootDuration, func() { w.updateRow(vm, func(s *fleet.VMRowSpec) { s.Generation++ }) })
}

// serving counts the VMs that serve each pool.
func (w *simulation) serving() map[string]int {
	out := map[string]int{}
	for _, row := range w.rows {
		vm := w.state.VM(row.Name())
		if vm.State() == fold.VMServing && row.State() == fleet.PlatformLive {
			out[vm.Pool()]++
		}
	}
	return out
}

func (w *simulation) measure() {
	serving := w.serving()
	for i, pool := range w.user.pools {
		capacity := serving[pool] * slotsPerVM
		w.result.shortfall += max(0, w.demand(i)-capacity)
		w.result.minServing = min(w.result.minServing, serving[pool])
		if pool != w.user.spare() {
			w.result.idleSeconds += float64(max(0, capacity-w.demand(i))) / slotsPerVM
		}
	}
}
