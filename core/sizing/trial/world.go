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
	ackTakes       = 3 * time.Second
	workEnds       = 5 * time.Second
	reassignTakes  = 15 * time.Second
	rebootTakes    = 90 * time.Second
	rackOutage     = 10 * time.Minute
	sizingPeriod   = 5   // seconds
	rackFailsAfter = 300 // seconds
	noonMs         = 12 * 60 * 60 * 1000
)

// option is one policy under one set of circumstances.
type option struct {
	name        string
	policy      sizing.Policy
	vms         int // VMs declared in each pool
	minServing  int
	waveMinimum int
	pace        int
	wave        bool // run a maintenance pass and measure until it ends
	waveStart   int  // second at which the pass starts
	rackFails   bool // a rack is lost during the pass
	calm        bool // no demand
}

// world runs the fold, the planner's plan and a policy over a trace, with a platform that takes its time.
type world struct {
	user     user
	option   option
	trace    trace
	folder   *fold.Folder
	state    *fold.State
	second   int
	rows     []fleet.VMRow
	position map[string]int
	due      map[int][]func()
	asked    map[string]bool
	answered fleet.RequestIDs
	index    *fleet.Index
	forecast sizing.Forecast
	result   result
}

// result holds the measures of one run.
type result struct {
	shortfall int           // slot-seconds
	buffer    float64       // idle VM-seconds outside the spare pool
	moves     int           // ends of moves
	worst     int           // fewest VMs serving in any pool
	rollOut   time.Duration // of the whole pass, 0 if it did not end
}

func newWorld(u user, o option, t trace) *world {
	w := &world{
		user: u, option: o, trace: t, folder: fold.NewFolder(), position: map[string]int{},
		due: map[int][]func(){}, asked: map[string]bool{}, result: result{worst: o.vms},
	}
	w.append(record.NewChange(u.objects(o), ""), record.NewLease("gate", 0, time.Minute.Milliseconds()))
	for _, pool := range u.pools {
		for i := range o.vms {
			n := len(w.rows)
			w.position[vmName(pool, i)] = n
			w.rows = append(w.rows, fleet.NewVMRow(fleet.VMRowSpec{
				Name: vmName(pool, i), DataCentre: string(rune('a' + n/vmsOfRack%3)), Rack: fmt.Sprint("rack-", n/vmsOfRack),
				Generation: 1, State: fleet.PlatformLive, Pool: pool, Slots: slotsOfVM,
			}))
		}
	}
	return w
}

func (w *world) nowMs() int64 { return noonMs + int64(w.second)*1000 }

func (w *world) append(bodies ...record.Body) {
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

func (w *world) after(d time.Duration, effect func()) {
	at := w.second + int(d.Seconds())
	w.due[at] = append(w.due[at], effect)
}

// change replaces one row; a list once handed to an index never changes.
func (w *world) change(vm string, edit func(*fleet.VMRowSpec)) {
	rows := append([]fleet.VMRow(nil), w.rows...)
	r := rows[w.position[vm]]
	spec := fleet.VMRowSpec{
		Name: r.Name(), DataCentre: r.DataCentre(), Rack: r.Rack(), Generation: r.Generation(),
		State: r.State(), Pool: r.Pool(), Slots: r.Slots(),
	}
	edit(&spec)
	rows[w.position[vm]] = fleet.NewVMRow(spec)
	w.rows, w.index = rows, nil
}

// run replays the trace up to the end of the pass, or the whole of it.
func (w *world) run() result {
	for w.second = 0; w.second < w.trace.seconds() && w.result.rollOut == 0; w.second++ {
		w.disturb()
		for _, effect := range w.due[w.second] {
			effect()
		}
		delete(w.due, w.second)
		w.plan()
		w.measure()
	}
	return w.result
}

// disturb starts the pass and the measures, and fails a rack while the pass is on.
func (w *world) disturb() {
	if w.option.wave && w.second == w.option.waveStart {
		w.result = result{worst: w.option.vms}
		w.append(record.NewWaveStep("pass", 0, fold.WaveRunning, "", 0))
	}
	if w.option.rackFails && w.second == w.option.waveStart+rackFailsAfter {
		w.failRack()
	}
}

func (w *world) failRack() {
	for _, row := range w.rows {
		if row.Rack() != "rack-3" {
			continue
		}
		w.change(row.Name(), func(s *fleet.VMRowSpec) { s.State = fleet.PlatformGone })
		w.after(rackOutage, func() {
			w.change(row.Name(), func(s *fleet.VMRowSpec) { s.State, s.Generation = fleet.PlatformLive, s.Generation+1 })
		})
	}
}

func (w *world) plan() {
	if w.index == nil {
		w.index = fleet.NewIndex(w.state, w.rows)
	}
	v := fleet.PlanInput{Index: w.index, Token: w.state.Lease().Token(), NowMs: w.nowMs(), AnsweredCalls: &w.answered}
	for _, name := range w.index.DrainingVMs() {
		vm := w.state.VM(name)
		age := time.Duration(w.nowMs()-vm.SinceMs()) * time.Millisecond
		running := 1
		if age >= workEnds {
			running = 0
		}
		v.DrainAcks = append(v.DrainAcks, fleet.NewDrainAck(name, vm.Revision(), age >= ackTakes, running))
	}
	if w.second%sizingPeriod == 0 && !w.option.calm {
		v.Transfers = w.transfers(v)
	}
	w.execute(fleet.Plan(v))
}

func (w *world) demand(pool int) int {
	if w.option.calm {
		return 0
	}
	return w.trace.slots[pool][w.second]
}

func (w *world) transfers(v fleet.PlanInput) []fleet.Transfer {
	var demand []fleet.PoolDemand
	for i, pool := range w.user.pools {
		running := min(w.demand(i), w.serving()[pool]*slotsOfVM)
		demand = append(demand, fleet.NewPoolDemand(pool, running, w.demand(i)-running))
	}
	loads := w.forecast.Update(time.UnixMilli(w.nowMs()), fleet.PoolLoads(v), demand)
	return sizing.Decide(w.option.policy, loads, w.user.spare())
}

func (w *world) execute(actions []fleet.Action) {
	var steps []record.Body
	for _, action := range actions {
		switch a := action.(type) {
		case fleet.VMStep:
			if a.Spec().State == fold.VMServing && w.state.VM(a.Spec().VM).State() == fold.VMMoving {
				w.result.moves++
			}
			steps = append(steps, record.NewVMStep(a.Spec()))
		case fleet.WaveStep:
			w.noteWave(a.Record())
			steps = append(steps, a.Record())
		case fleet.Reboot:
			w.call(a.RequestID(), 0, func() { w.reboot(a.VM()) })
		case fleet.Reassign:
			w.call(a.RequestID(), reassignTakes, func() { w.change(a.VM(), func(s *fleet.VMRowSpec) { s.Pool = a.Pool() }) })
		case fleet.Fence:
			w.call(a.RequestID(), 0, func() {})
		}
	}
	if len(steps) > 0 {
		w.append(steps...)
	}
}

func (w *world) noteWave(step record.WaveStep) {
	if step.State() == fold.WaveDone {
		w.result.rollOut = time.Duration(w.second-w.option.waveStart) * time.Second
	}
}

func (w *world) call(requestID string, takes time.Duration, effect func()) {
	if w.asked[requestID] {
		return
	}
	w.asked[requestID] = true
	w.after(takes+time.Second, func() {
		effect()
		w.answered.Add(requestID)
	})
}

func (w *world) reboot(vm string) {
	w.after(rebootTakes, func() { w.change(vm, func(s *fleet.VMRowSpec) { s.Generation++ }) })
}

// serving counts the VMs that serve each pool.
func (w *world) serving() map[string]int {
	out := map[string]int{}
	for _, row := range w.rows {
		vm := w.state.VM(row.Name())
		if vm.State() == fold.VMServing && row.State() == fleet.PlatformLive {
			out[vm.Pool()]++
		}
	}
	return out
}

func (w *world) measure() {
	serving := w.serving()
	for i, pool := range w.user.pools {
		capacity := serving[pool] * slotsOfVM
		w.result.shortfall += max(0, w.demand(i)-capacity)
		w.result.worst = min(w.result.worst, serving[pool])
		if pool != w.user.spare() {
			w.result.buffer += float64(max(0, capacity-w.demand(i))) / slotsOfVM
		}
	}
}
