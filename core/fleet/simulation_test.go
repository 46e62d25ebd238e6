package fleet

import (
	"fmt"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"mangowing/core/codes"
	"mangowing/core/fold"
	"mangowing/core/record"
)

const (
	tickMs           = 1000
	ackDelayMs       = 2000
	rebootDurationMs = 60_000
	startMs          = 12 * 60 * 60 * 1000 // noon
	rackSize         = 4
)

// simulation combines a fold, a VM list and a platform that executes the actions of Plan within one tick.
type simulation struct {
	t              testing.TB
	folder         *fold.Folder
	nowMs          int64
	rows           map[string]VMRowSpec
	rebootDoneAtMs map[string]int64
	running        map[string]int
	health         map[string]Health
	transfers      []Transfer
	answered       *RequestIDs
	executedCalls  map[string]bool // request ids of calls that took effect
	withholdAcks   bool            // the gates do not acknowledge drains
	answersToLose  int             // how many of the next platform answers get lost
	failsToReturn  map[string]bool
	reboots        map[string]int
	resultCounts   map[codes.Code]int
	lowestServing  map[string]int // lowest number of serving VMs seen, by pool
}

func newSimulation(t testing.TB, sections ...record.Object) *simulation {
	sim := &simulation{
		t: t, folder: fold.NewFolder(), nowMs: startMs, rows: map[string]VMRowSpec{}, rebootDoneAtMs: map[string]int64{},
		running: map[string]int{}, health: map[string]Health{}, answered: &RequestIDs{}, executedCalls: map[string]bool{},
		failsToReturn: map[string]bool{}, reboots: map[string]int{}, resultCounts: map[codes.Code]int{}, lowestServing: map[string]int{},
	}
	v := sim.append(record.NewChange(sections, ""))
	assert.Equal(t, v.Code(), codes.OK, "%v", v.Faults())
	i := 0
	for _, pool := range sim.state().Config().Pools() {
		p, _ := sim.state().Config().Pool(pool)
		for _, name := range p.VMs() {
			sim.rows[name] = VMRowSpec{
				Name: name, DataCentre: "dc-" + strconv.Itoa(i/rackSize%3), Rack: "rack-" + strconv.Itoa(i/rackSize),
				Generation: 1, State: PlatformLive, Pool: pool, Slots: 8,
			}
			i++
		}
	}
	sim.append(record.NewLease("gate-1", 0, 6000))
	return sim
}

// newTwoPoolSimulation declares the pools "pour" and "spare" of ten VMs each, with minimums of eight and six.
func newTwoPoolSimulation(t testing.TB, more ...record.Object) *simulation {
	return newSimulation(t, append([]record.Object{
		record.NewObject("fleet", "vlnka", 0).WithField("data-centres", "dc-0, dc-1, dc-2").WithField("spare-pool", "spare"),
		record.NewObject("pool", "pour", 0).WithField("vms", "pour-[01-10]").WithField("min-serving", "8"),
		record.NewObject("pool", "spare", 0).WithField("vms", "spare-[01-10]").WithField("min-serving", "6"),
	}, more...)...)
}

func (sim *simulation) state() *fold.State { return sim.folder.Publish() }

func (sim *simulation) append(body record.Body) fold.Result {
	data, err := record.EncodeBatch([]record.Record{record.New("test", sim.nowMs, body)})
	assert.NilError(sim.t, err)
	results, err := sim.folder.Apply(sim.folder.Offset()+1, data)
	assert.NilError(sim.t, err)
	sim.resultCounts[results[0].Code()]++
	return results[0]
}

func (sim *simulation) startWave(name string) {
	v := sim.append(record.NewWaveStep(name, sim.state().Wave(name).Revision(), fold.WaveRunning, "", 0))
	assert.Equal(sim.t, v.Code(), codes.OK, v.Detail())
}

func (sim *simulation) startMove(vm, pool string) {
	current := sim.state().VM(vm)
	v := sim.append(record.NewVMStep(record.VMStepSpec{
		VM: vm, Base: current.Revision(), Generation: 1, State: fold.VMDraining, Pool: current.Pool(), Target: pool,
	}))
	assert.Equal(sim.t, v.Code(), codes.OK, v.Detail())
}

func (sim *simulation) rowList() []VMRow {
	var out []VMRow
	for _, spec := range sim.rows {
		out = append(out, NewVMRow(spec))
	}
	return out
}

func (sim *simulation) planInput() PlanInput {
	state := sim.state()
	in := PlanInput{
		Index: NewIndex(state, sim.rowList()), Token: state.Lease().Token(), NowMs: sim.nowMs,
		AnsweredCalls: sim.answered, Transfers: sim.transfers,
	}
	for _, name := range in.Index.DrainingVMs() {
		vm := state.VM(name)
		in.DrainAcks = append(in.DrainAcks, NewDrainAck(name, vm.Revision(), !sim.withholdAcks && sim.nowMs-vm.SinceMs() >= ackDelayMs, sim.running[name]))
	}
	for _, h := range sim.health {
		in.Health = append(in.Health, h)
	}
	return in
}

func (sim *simulation) execute(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case VMStep:
			sim.append(record.NewVMStep(a.Spec()))
		case WaveStep:
			sim.append(a.Record())
		case Reboot:
			sim.callPlatform(a.RequestID(), func() { sim.reboot(a.VM()) })
		case Reassign:
			sim.callPlatform(a.RequestID(), func() { sim.editRow(a.VM(), func(r *VMRowSpec) { r.Pool = a.Pool() }) })
		case Fence:
			sim.callPlatform(a.RequestID(), func() {})
		}
	}
}

func (sim *simulation) callPlatform(id string, effect func()) {
	if !sim.executedCalls[id] {
		sim.executedCalls[id] = true
		effect()
	}
	if sim.answersToLose > 0 {
		sim.answersToLose--
		return
	}
	sim.answered.Add(id)
}

func (sim *simulation) editRow(vm string, edit func(*VMRowSpec)) {
	row := sim.rows[vm]
	edit(&row)
	sim.rows[vm] = row
}

func (sim *simulation) reboot(vm string) {
	sim.reboots[vm]++
	sim.rebootDoneAtMs[vm] = sim.nowMs + rebootDurationMs
	sim.health[vm] = NewHealth(vm, true, false)
}

// advanceTime advances the clock by one tick, completes the reboots that are due and records the lowest serving counts.
func (sim *simulation) advanceTime() {
	sim.nowMs += tickMs
	for vm, at := range sim.rebootDoneAtMs {
		if sim.nowMs < at || sim.failsToReturn[vm] {
			continue
		}
		delete(sim.rebootDoneAtMs, vm)
		delete(sim.health, vm)
		sim.editRow(vm, func(r *VMRowSpec) { r.Generation++ })
	}
	for _, pool := range sim.state().Config().Pools() {
		n := sim.countServing(pool)
		if lowest, seen := sim.lowestServing[pool]; !seen || n < lowest {
			sim.lowestServing[pool] = n
		}
	}
}

// countServing counts the VMs that can serve a pool according to the state, the VM list and their health.
func (sim *simulation) countServing(pool string) int {
	state, n := sim.state(), 0
	for name, row := range sim.rows {
		vm := state.VM(name)
		if vm.Pool() == pool && vm.State() == fold.VMServing && row.State == PlatformLive && !sim.health[name].unreachable {
			n++
		}
	}
	return n
}

func (sim *simulation) tick() {
	sim.execute(Plan(sim.planInput()))
	sim.advanceTime()
}

// runUntil ticks until done returns true, and fails the test after the given number of ticks.
func (sim *simulation) runUntil(ticks int, done func() bool) {
	sim.t.Helper()
	for range ticks {
		if done() {
			return
		}
		sim.tick()
	}
	sim.t.Fatalf("not done after %d ticks: %s", ticks, sim.summary())
}

func (sim *simulation) summary() string {
	state, out := sim.state(), ""
	for _, name := range state.VMNames() {
		vm := state.VM(name)
		out += fmt.Sprintf("%s %s in %s, ", name, vm.State(), vm.Pool())
	}
	return out
}

func (sim *simulation) isServing(vm, pool string) func() bool {
	return func() bool {
		current := sim.state().VM(vm)
		return current.State() == fold.VMServing && current.Pool() == pool
	}
}

func (sim *simulation) waveIs(name, state string) func() bool {
	return func() bool { return sim.state().Wave(name).State() == state }
}

// inMaintenance returns the VMs drained or rebooted for the wave.
func (sim *simulation) inMaintenance(wave string) []string {
	var out []string
	state := sim.state()
	for _, name := range state.VMNames() {
		vm := state.VM(name)
		if vm.Wave() == wave && (vm.State() == fold.VMDraining || vm.State() == fold.VMRebooting) {
			out = append(out, name)
		}
	}
	return out
}
