package count

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"
)

const maxViolationsKept = 100

// Start is one start of a request or task at a worker.
type Start struct {
	VM        string // the worker's VM
	Team      string // the team that it runs for
	Queue     string // the queue that it came through, empty for a task
	RequestID string // the gate's id of the request, or the task's id
	WorkID    string // the test's own id of one piece of work, may be empty
}

// Board counts starts and ends over the whole fleet; the zero value works.
type Board struct {
	mu       sync.Mutex
	pools    map[string]string
	teams    map[string]*teamCount
	works    map[string]*workCount
	requests map[string]int
	vms      map[string]*vmCount
	totals   totals
	twoPools []violationWire
}

type totals struct {
	Started     int `json:"started"`
	Finished    int `json:"finished"`
	Cut         int `json:"cut"`
	OutsidePool int `json:"outside-pool"`
	Slots       int `json:"refused-slots"`
	Connections int `json:"refused-connections"`
}

type teamCount struct {
	Team        string `json:"team"`
	Started     int    `json:"started"`
	Running     int    `json:"running"`
	MostRunning int    `json:"most-running"`
	SlotMs      int64  `json:"slot-ms"`
}

type workCount struct {
	ID       string   `json:"id"`
	Starts   int      `json:"starts"`
	Finished int      `json:"finished"`
	VMs      []string `json:"vms"`
}

type vmCount struct {
	pool    string
	running map[string]int
	leaving time.Time
	listed  time.Time
	late    lateWire
}

// lateWire is the starts at a VM after it began to leave, and the delay of the last one.
type lateWire struct {
	VM             string `json:"vm"`
	Starts         int    `json:"starts"`
	LatestMs       int64  `json:"latest-ms"`
	LatestListedMs int64  `json:"latest-listed-ms"`
	StartsUnlisted int    `json:"starts-before-listed"`
}

type violationWire struct {
	VM        string `json:"vm"`
	Queue     string `json:"queue"`
	OtherPool string `json:"other-pool"`
	AtMs      int64  `json:"at-ms"`
}

type requestWire struct {
	RequestID string `json:"request-id"`
	Starts    int    `json:"starts"`
}

type boardWire struct {
	Totals   totals          `json:"totals"`
	Teams    []teamCount     `json:"teams"`
	Twice    []requestWire   `json:"requests-twice"`
	TwoPools []violationWire `json:"two-pools"`
	Leaving  []lateWire      `json:"leaving"`
	Works    []workCount     `json:"works,omitempty"`
}

// NewBoard returns a board that knows which pool each queue belongs to.
func NewBoard(poolOfQueue map[string]string) *Board {
	return &Board{pools: poolOfQueue}
}

// Run is one started request or task.
type Run struct {
	board *Board
	start Start
	at    time.Time
	once  sync.Once
}

// Begin counts a start at the given time.
func (b *Board) Begin(s Start, now time.Time) *Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prepare()
	b.totals.Started++
	b.requests[s.RequestID]++
	team := b.team(s.Team)
	team.Started++
	team.Running++
	team.MostRunning = max(team.MostRunning, team.Running)
	if s.WorkID != "" {
		work := b.work(s.WorkID)
		work.Starts++
		work.VMs = append(work.VMs, s.VM)
	}
	b.beginAt(b.vm(s.VM), s, now)
	return &Run{board: b, start: s, at: now}
}

func (b *Board) beginAt(vm *vmCount, s Start, now time.Time) {
	vm.noteLate(now)
	pool, known := b.pools[s.Queue]
	if !known {
		return
	}
	if vm.pool != "" && pool != vm.pool {
		b.totals.OutsidePool++
	}
	for other := range vm.running {
		if other != pool && len(b.twoPools) < maxViolationsKept {
			b.twoPools = append(b.twoPools, violationWire{s.VM, s.Queue, other, now.UnixMilli()})
		}
	}
	vm.running[pool]++
}

func (v *vmCount) noteLate(now time.Time) {
	if v.leaving.IsZero() {
		return
	}
	v.late.Starts++
	v.late.LatestMs = now.Sub(v.leaving).Milliseconds()
	if v.listed.IsZero() {
		v.late.StartsUnlisted++
		return
	}
	v.late.LatestListedMs = now.Sub(v.listed).Milliseconds()
}

// End counts the run's end, as cut if it did not finish; later calls do nothing.
func (r *Run) End(now time.Time, cut bool) {
	r.once.Do(func() { r.board.end(r, now, cut) })
}

func (b *Board) end(r *Run, now time.Time, cut bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	team := b.team(r.start.Team)
	team.Running--
	team.SlotMs += now.Sub(r.at).Milliseconds()
	b.endAt(b.vm(r.start.VM), r.start.Queue)
	if cut {
		b.totals.Cut++
		return
	}
	b.totals.Finished++
	if r.start.WorkID != "" {
		b.work(r.start.WorkID).Finished++
	}
}

func (b *Board) endAt(vm *vmCount, queue string) {
	pool, known := b.pools[queue]
	if !known {
		return
	}
	vm.running[pool]--
	if vm.running[pool] <= 0 {
		delete(vm.running, pool)
	}
}

// RefusedSlots counts a refusal for want of a slot.
func (b *Board) RefusedSlots() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.totals.Slots++
}

// RefusedConnections counts a refusal for too many connections.
func (b *Board) RefusedConnections() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.totals.Connections++
}

// SetPool states the pool that the platform has a VM in.
func (b *Board) SetPool(vm, pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prepare()
	b.vm(vm).pool = pool
}

// SetLeaving states when a VM began to leave, the zero time for a VM that stays.
func (b *Board) SetLeaving(vm string, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prepare()
	v := b.vm(vm)
	v.leaving, v.listed = at, time.Time{}
}

// SetListed states when the VM list first told that a VM is leaving.
func (b *Board) SetListed(vm string, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prepare()
	if v := b.vm(vm); v.listed.IsZero() {
		v.listed = at
	}
}

// JSON returns all counts, with one row for each piece of work if wanted.
func (b *Board) JSON(works bool) ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := boardWire{Totals: b.totals, Teams: []teamCount{}, Twice: []requestWire{}, Leaving: []lateWire{}}
	w.TwoPools = append([]violationWire{}, b.twoPools...)
	for _, name := range slices.Sorted(maps.Keys(b.teams)) {
		w.Teams = append(w.Teams, *b.teams[name])
	}
	for id, n := range b.requests {
		if n > 1 {
			w.Twice = append(w.Twice, requestWire{id, n})
		}
	}
	slices.SortFunc(w.Twice, func(x, y requestWire) int { return cmp.Compare(x.RequestID, y.RequestID) })
	for _, name := range slices.Sorted(maps.Keys(b.vms)) {
		if late := b.vms[name].late; late.Starts > 0 {
			w.Leaving = append(w.Leaving, late)
		}
	}
	if works {
		w.Works = b.sortedWorks()
	}
	return json.Marshal(w)
}

func (b *Board) sortedWorks() []workCount {
	out := make([]workCount, 0, len(b.works))
	for _, id := range slices.Sorted(maps.Keys(b.works)) {
		out = append(out, *b.works[id])
	}
	return out
}

func (b *Board) prepare() {
	if b.teams == nil {
		b.teams = map[string]*teamCount{}
		b.works = map[string]*workCount{}
		b.requests = map[string]int{}
		b.vms = map[string]*vmCount{}
	}
}

func (b *Board) team(name string) *teamCount {
	if b.teams[name] == nil {
		b.teams[name] = &teamCount{Team: name}
	}
	return b.teams[name]
}

func (b *Board) work(id string) *workCount {
	if b.works[id] == nil {
		b.works[id] = &workCount{ID: id}
	}
	return b.works[id]
}

func (b *Board) vm(name string) *vmCount {
	if b.vms[name] == nil {
		b.vms[name] = &vmCount{running: map[string]int{}, late: lateWire{VM: name}}
	}
	return b.vms[name]
}
