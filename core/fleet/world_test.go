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
	tickMs        = 1000
	ackAfterMs    = 2000
	rebootTakesMs = 60_000
	startMs       = 12 * 60 * 60 * 1000 // noon
	rackSize      = 4
)

// world is a fold, a VM list and a platform that executes what Plan asks for; everything happens within one tick.
type world struct {
	t           testing.TB
	folder      *fold.Folder
	nowMs       int64
	rows        map[string]VMRowSpec
	backAt      map[string]int64
	running     map[string]int
	health      map[string]Health
	transfers   []Transfer
	answered    *RequestIDs
	platform    map[string]bool // request ids that took effect
	silent      bool            // a gate does not acknowledge drains
	loseAnswers int             // answers of platform calls still to be lost
	neverBack   map[string]bool
	reboots     map[string]int
	refused     map[codes.Code]int
	worst       map[string]int // fewest VMs seen serving, for each pool
}

func newWorld(t testing.TB, sections ...record.Object) *world {
	w := &world{
		t: t, folder: fold.NewFolder(), nowMs: startMs, rows: map[string]VMRowSpec{}, backAt: map[string]int64{},
		running: map[string]int{}, health: map[string]Health{}, answered: &RequestIDs{}, platform: map[string]bool{},
		neverBack: map[string]bool{}, reboots: map[string]int{}, refused: map[codes.Code]int{}, worst: map[string]int{},
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

// twoPools declares pools "pour" and "spare" of ten VMs, each with a minimum of eight and six.
func twoPools(t testing.TB, more ...record.Object) *world {
	return newWorld(t, append([]record.Object{
		record.NewObject("fleet", "vlnka", 0).WithField("data-centres", "dc-0, dc-1, dc-2").WithField("spare-pool", "spare"),
		record.NewObject("pool", "pour", 0).WithField("vms", "pour-[01-10]").WithField("min-serving", "8"),
		record.NewObject("pool", "spare", 0).WithField("vms", "spare-[01-10]").WithField("min-serving", "6"),
	}, more...)...)
}

func (w *world) state() *fold.State { return w.folder.Publish() }

func (w *world) append(body record.Body) fold.Result {
	data, err := record.EncodeBatch([]record.Record{record.New("test", w.nowMs, body)})
	assert.NilError(w.t, err)
	verdicts, err := w.folder.Apply(w.folder.Offset()+1, data)
	assert.NilError(w.t, err)
	w.refused[verdicts[0].Code()]++
	return verdicts[0]
}

func (w *world) startWave(name string) {
	v := w.append(record.NewWaveStep(name, w.state().Wave(name).Revision(), fold.WaveRunning, "", 0))
	assert.Equal(w.t, v.Code(), codes.OK, v.Detail())
}

func (w *world) move(vm, pool string) {
	current := w.state().VM(vm)
	v := w.append(record.NewVMStep(record.VMStepSpec{
		VM: vm, Base: current.Revision(), Generation: 1, State: fold.VMDraining, Pool: current.Pool(), Target: pool,
	}))
	assert.Equal(w.t, v.Code(), codes.OK, v.Detail())
}

func (w *world) rowList() []VMRow {
	var out []VMRow
	for _, spec := range w.rows {
		out = append(out, NewVMRow(spec))
	}
	return out
}

func (w *world) view() PlanInput {
	state := w.state()
	v := PlanInput{
		Index: NewIndex(state, w.rowList()), Token: state.Lease().Token(), NowMs: w.nowMs,
		AnsweredCalls: w.answered, Transfers: w.transfers,
	}
	for _, name := range v.Index.DrainingVMs() {
		vm := state.VM(name)
		v.DrainAcks = append(v.DrainAcks, NewDrainAck(name, vm.Revision(), !w.silent && w.nowMs-vm.SinceMs() >= ackAfterMs, w.running[name]))
	}
	for _, h := range w.health {
		v.Health = append(v.Health, h)
	}
	return v
}

func (w *world) execute(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case VMStep:
			w.append(record.NewVMStep(a.Spec()))
		case WaveStep:
			w.append(a.Record())
		case Reboot:
			w.call(a.RequestID(), func() { w.reboot(a.VM()) })
		case Reassign:
			w.call(a.RequestID(), func() { w.change(a.VM(), func(r *VMRowSpec) { r.Pool = a.Pool() }) })
		case Fence:
			w.call(a.RequestID(), func() {})
		}
	}
}

func (w *world) call(id string, effect func()) {
	if !w.platform[id] {
		w.platform[id] = true
		effect()
	}
	if w.loseAnswers > 0 {
		w.loseAnswers--
		return
	}
	w.answered.Add(id)
}

func (w *world) change(vm string, edit func(*VMRowSpec)) {
	row := w.rows[vm]
	edit(&row)
	w.rows[vm] = row
}

func (w *world) reboot(vm string) {
	w.reboots[vm]++
	w.backAt[vm] = w.nowMs + rebootTakesMs
	w.health[vm] = NewHealth(vm, true, false)
}

// passTime ends the reboots that are due and notes how many VMs serve.
func (w *world) passTime() {
	w.nowMs += tickMs
	for vm, at := range w.backAt {
		if w.nowMs < at || w.neverBack[vm] {
			continue
		}
		delete(w.backAt, vm)
		delete(w.health, vm)
		w.change(vm, func(r *VMRowSpec) { r.Generation++ })
	}
	for _, pool := range w.state().Config().Pools() {
		n := w.serving(pool)
		if worst, seen := w.worst[pool]; !seen || n < worst {
			w.worst[pool] = n
		}
	}
}

// serving counts the VMs that can really serve a pool.
func (w *world) serving(pool string) int {
	state, n := w.state(), 0
	for name, row := range w.rows {
		vm := state.VM(name)
		if vm.Pool() == pool && vm.State() == fold.VMServing && row.State == PlatformLive && !w.health[name].unreachable {
			n++
		}
	}
	return n
}

func (w *world) tick() {
	w.execute(Plan(w.view()))
	w.passTime()
}

// run ticks until done, and fails after the given number of ticks.
func (w *world) run(ticks int, done func() bool) {
	w.t.Helper()
	for range ticks {
		if done() {
			return
		}
		w.tick()
	}
	w.t.Fatalf("not done after %d ticks: %s", ticks, w.summary())
}

func (w *world) summary() string {
	state, out := w.state(), ""
	for _, name := range state.VMNames() {
		vm := state.VM(name)
		out += fmt.Sprintf("%s %s in %s, ", name, vm.State(), vm.Pool())
	}
	return out
}

func (w *world) isServing(vm, pool string) func() bool {
	return func() bool {
		agreed := w.state().VM(vm)
		return agreed.State() == fold.VMServing && agreed.Pool() == pool
	}
}

func (w *world) waveIs(name, state string) func() bool {
	return func() bool { return w.state().Wave(name).State() == state }
}

// outForMaintenance returns the VMs drained or rebooted for the wave.
func (w *world) outForMaintenance(wave string) []string {
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
