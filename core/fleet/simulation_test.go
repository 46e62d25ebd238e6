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
	w := &simulation{
		t: t, folder: fold.NewFolder(), nowMs: startMs, rows: map[string]VMRowSpec{}, rebootDoneAtMs: map[string]int64{},
		running: map[string]int{}, health: map[string]Health{}, answered: &RequestIDs{}, executedCalls: map[string]bool{},
		failsToReturn: map[string]bool{}, reboots: map[string]int{}, resultCounts: map[codes.Code]int{}, lowestServing: map[string]int{},
	}
	v := w.append(record.NewChange(sections, ""))
	assert.Equal(t, v.Code(), codes.OK, "%v", v.Faults())
	i := 0
	for _, pool := range w.state().Config().Pools() {
		p, _ := w.state().Config().Pool(pool)
		for _, name := range p.VMs() {
			w.rows[name] = VMRowSpec{
				Name: name, DataCentre: "dc-" + strconv.Itoa(i/rackSize%3), Rack: "rack-" + strconv.Itoa(i/rackSize),
				Generation: 1, State: PlatformLive, Pool: pool, Slots: 8,
			}
			i++
		}
	}
	w.append(record.NewLease("gate-1", 0, 6000))
	return w
}

// newTwoPoolSimulation declares the pools "pour" and "spare" of ten VMs each, with minimums of eight and six.
func newTwoPoolSimulation(t testing.TB, more ...record.Object) *simulation {
	return newSimulation(t, append([]record.Object{
		record.NewObject("fleet", "vlnka", 0).WithField("data-centres", "dc-0, dc-1, dc-2").WithField("spare-pool", "spare"),
		record.NewObject("pool", "pour", 0).WithField("vms", "pour-[01-10]").WithField("min-serving", "8"),
		record.NewObject("pool", "spare", 0).WithField("vms", "spare-[01-10]").WithField("min-serving", "6"),
	}, more...)...)
}

func (w *simulation) state() *fold.State { return w.folder.Publish() }

func (w *simulation) append(body record.Body) fold.Result {
	data, err := record.EncodeBatch([]record.Record{record.New("test", w.nowMs, body)})
	assert.NilError(w.t, err)
	verdicts, err := w.folder.Apply(w.folder.Offset()+1, data)
	assert.NilError(w.t, err)
	w.resultCounts[verdicts[0].Code()]++
	return verdicts[0]
}

func (w *simulation) startWave(name string) {
	v := w.append(record.NewWaveStep(name, w.state().Wave(name).Revision(), fold.WaveRunning, "", 0))
	assert.Equal(w.t, v.Code(), codes.OK, v.Detail())
}

func (w *simulation) startMove(vm, pool string) {
	current := w.state().VM(vm)
	v := w.append(record.NewVMStep(record.VMStepSpec{
		VM: vm, Base: current.Revision(), Generation: 1, State: fold.VMDraining, Pool: current.Pool(), Target: pool,
	}))
	assert.Equal(w.t, v.Code(), codes.OK, v.Detail())
}

func (w *simulation) rowList() []VMRow {
	var out []VMRow
	for _, spec := range w.rows {
		out = append(out, NewVMRow(spec))
	}
	return out
}

func (w *simulation) view() PlanInput {
	state := w.state()
	v := PlanInput{
		Index: NewIndex(state, w.rowList()), Token: state.Lease().Token(), NowMs: w.nowMs,
		AnsweredCalls: w.answered, Transfers: w.transfers,
	}
	for _, name := range v.Index.DrainingVMs() {
		vm := state.VM(name)
		v.DrainAcks = append(v.DrainAcks, NewDrainAck(name, vm.Revision(), !w.withholdAcks && w.nowMs-vm.SinceMs() >= ackDelayMs, w.running[name]))
	}
	for _, h := range w.health {
		v.Health = append(v.Health, h)
	}
	return v
}

func (w *simulation) execute(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case VMStep:
			w.append(record.NewVMStep(a.Spec()))
		case WaveStep:
			w.append(a.Record())
		case Reboot:
			w.callPlatform(a.RequestID(), func() { w.reboot(a.VM()) })
		case Reassign:
			w.callPlatform(a.RequestID(), func() { w.editRow(a.VM(), func(r *VMRowSpec) { r.Pool = a.Pool() }) })
		case Fence:
			w.callPlatform(a.RequestID(), func() {})
		}
	}
}

func (w *simulation) callPlatform(id string, effect func()) {
	if !w.executedCalls[id] {
		w.executedCalls[id] = true
		effect()
	}
	if w.answersToLose > 0 {
		w.answersToLose--
		return
	}
	w.answered.Add(id)
}

func (w *simulation) editRow(vm string, edit func(*VMRowSpec)) {
	row := w.rows[vm]
	edit(&row)
	w.rows[vm] = row
}

func (w *simulation) reboot(vm string) {
	w.reboots[vm]++
	w.rebootDoneAtMs[vm] = w.nowMs + rebootDurationMs
	w.health[vm] = NewHealth(vm, true, false)
}

// advanceTime advances the clock by one tick, completes the reboots that are due and records the lowest serving counts.
func (w *simulation) advanceTime() {
	w.nowMs += tickMs
	for vm, at := range w.rebootDoneAtMs {
		if w.nowMs < at || w.failsToReturn[vm] {
			continue
		}
		delete(w.rebootDoneAtMs, vm)
		delete(w.health, vm)
		w.editRow(vm, func(r *VMRowSpec) { r.Generation++ })
	}
	for _, pool := range w.state().Config().Pools() {
		n := w.countServing(pool)
		if lowest, seen := w.lowestServing[pool]; !seen || n < lowest {
			w.lowestServing[pool] = n
		}
	}
}

// countServing counts the VMs that can serve a pool according to the state, the VM list and their health.
func (w *simulation) countServing(pool string) int {
	state, n := w.state(), 0
	for name, row := range w.rows {
		vm := state.VM(name)
		if vm.Pool() == pool && vm.State() == fold.VMServing && row.State == PlatformLive && !w.health[name].unreachable {
			n++
		}
	}
	return n
}

func (w *simulation) tick() {
	w.execute(Plan(w.view()))
	w.advanceTime()
}

// runUntil ticks until done returns true, and fails the test after the given number of ticks.
func (w *simulation) runUntil(ticks int, done func() bool) {
	w.t.Helper()
	for range ticks {
		if done() {
			return
		}
		w.tick()
	}
	w.t.Fatalf("not done after %d ticks: %s", ticks, w.summary())
}

func (w *simulation) summary() string {
	state, out := w.state(), ""
	for _, name := range state.VMNames() {
		vm := state.VM(name)
		out += fmt.Sprintf("%s %s in %s, ", name, vm.State(), vm.Pool())
	}
	return out
}

func (w *simulation) isServing(vm, pool string) func() bool {
	return func() bool {
		current := w.state().VM(vm)
		return current.State() == fold.VMServing && current.Pool() == pool
	}
}

func (w *simulation) waveIs(name, state string) func() bool {
	return func() bool { return w.state().Wave(name).State() == state }
}

// inMaintenance returns the VMs drained or rebooted for the wave.
func (w *simulation) inMaintenance(wave string) []string {
	var out []string
	state := w.state()
	for _, name := range state.VMNames() {
		vm := state.VM(name)
		if vm.Wave() == wave && (vm.State() == fold.VMDraining || vm.State() == fold.VMRebooting) {
			out = append(out, name)
		}
	}
	return out
}
