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

// Start describes the start of a request or task on a worker.
type Start struct {
	VM        string // the worker's VM
	Team      string // the team on whose behalf it runs
	Queue     string // the request's queue, empty for a task
	RequestID string // the request's id at the gate, or the task's id
	WorkID    string // the test client's own id of the piece of work, may be empty
}

// Recorder counts starts and ends over all workers. The zero value is ready to use.
type Recorder struct {
	mu          sync.Mutex
	poolByQueue map[string]string
	teams       map[string]*teamCount
	workByID    map[string]*workCount
	requests    map[string]int
	vms         map[string]*vmCount
	totals      totals
	twoPools    []violationWire
}

type totals struct {
	Started            int `json:"started"`
	Finished           int `json:"finished"`
	Cut                int `json:"cut"`
	OutsidePool        int `json:"outside-pool"`
	RefusedSlots       int `json:"refused-slots"`
	RefusedConnections int `json:"refused-connections"`
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
	pool         string
	running      map[string]int
	leavingSince time.Time
	listedSince  time.Time
	late         lateWire
}

// lateWire counts the starts on a VM after it began to leave, and holds the delay of the last one.
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

type countsWire struct {
	Totals        totals          `json:"totals"`
	Teams         []teamCount     `json:"teams"`
	RequestsTwice []requestWire   `json:"requests-twice"`
	TwoPools      []violationWire `json:"two-pools"`
	Leaving       []lateWire      `json:"leaving"`
	Works         []workCount     `json:"works,omitempty"`
}

// NewRecorder returns a recorder that checks pools by the given map from queue to pool.
func NewRecorder(poolByQueue map[string]string) *Recorder {
	return &Recorder{poolByQueue: poolByQueue}
}

// Run is a started request or task.
type Run struct {
	recorder  *Recorder
	start     Start
	startedAt time.Time
	once      sync.Once
}

// RecordStart counts a start at the given time and returns its run.
func (r *Recorder) RecordStart(s Start, now time.Time) *Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.initMaps()
	r.totals.Started++
	r.requests[s.RequestID]++
	team := r.team(s.Team)
	team.Started++
	team.Running++
	team.MostRunning = max(team.MostRunning, team.Running)
	if s.WorkID != "" {
		work := r.work(s.WorkID)
		work.Starts++
		work.VMs = append(work.VMs, s.VM)
	}
	r.recordVMStart(r.vm(s.VM), s, now)
	return &Run{recorder: r, start: s, startedAt: now}
}

func (r *Recorder) recordVMStart(vm *vmCount, s Start, now time.Time) {
	vm.recordLateStart(now)
	pool, found := r.poolByQueue[s.Queue]
	if !found {
		return
	}
	if vm.pool != "" && pool != vm.pool {
		r.totals.OutsidePool++
	}
	for other := range vm.running {
		if other != pool && len(r.twoPools) < maxViolationsKept {
			r.twoPools = append(r.twoPools, violationWire{s.VM, s.Queue, other, now.UnixMilli()})
		}
	}
	vm.running[pool]++
}

func (v *vmCount) recordLateStart(now time.Time) {
	if v.leavingSince.IsZero() {
		return
	}
	v.late.Starts++
	v.late.LatestMs = now.Sub(v.leavingSince).Milliseconds()
	if v.listedSince.IsZero() {
		v.late.StartsUnlisted++
		return
	}
	v.late.LatestListedMs = now.Sub(v.listedSince).Milliseconds()
}

// End counts the run's end, as cut if the run did not finish. Later calls have no effect.
func (r *Run) End(now time.Time, cut bool) {
	r.once.Do(func() { r.recorder.recordEnd(r, now, cut) })
}

func (r *Recorder) recordEnd(run *Run, now time.Time, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	team := r.team(run.start.Team)
	team.Running--
	team.SlotMs += now.Sub(run.startedAt).Milliseconds()
	r.recordVMEnd(r.vm(run.start.VM), run.start.Queue)
	if cut {
		r.totals.Cut++
		return
	}
	r.totals.Finished++
	if run.start.WorkID != "" {
		r.work(run.start.WorkID).Finished++
	}
}

func (r *Recorder) recordVMEnd(vm *vmCount, queue string) {
	pool, found := r.poolByQueue[queue]
	if !found {
		return
	}
	vm.running[pool]--
	if vm.running[pool] <= 0 {
		delete(vm.running, pool)
	}
}

// RecordRefusedSlot counts a request or task refused because no slot was free.
func (r *Recorder) RecordRefusedSlot() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.totals.RefusedSlots++
}

// RecordRefusedConnection counts a request refused because too many connections were open.
func (r *Recorder) RecordRefusedConnection() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.totals.RefusedConnections++
}

// SetPool sets the pool that the platform has assigned a VM to.
func (r *Recorder) SetPool(vm, pool string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.initMaps()
	r.vm(vm).pool = pool
}

// SetLeaving sets when a VM began to leave; the zero time means that it doesn't leave. It also clears the time set by
// SetListed.
func (r *Recorder) SetLeaving(vm string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.initMaps()
	v := r.vm(vm)
	v.leavingSince, v.listedSince = at, time.Time{}
}

// SetListed sets when the VM list first showed that a VM is leaving. Later calls have no effect
// until the next SetLeaving.
func (r *Recorder) SetListed(vm string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.initMaps()
	if v := r.vm(vm); v.listedSince.IsZero() {
		v.listedSince = at
	}
}

// JSON returns all counts, with one row for each piece of work if includeWorks is set.
func (r *Recorder) JSON(includeWorks bool) ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := countsWire{Totals: r.totals, Teams: []teamCount{}, RequestsTwice: []requestWire{}, Leaving: []lateWire{}}
	w.TwoPools = append([]violationWire{}, r.twoPools...)
	for _, name := range slices.Sorted(maps.Keys(r.teams)) {
		w.Teams = append(w.Teams, *r.teams[name])
	}
	for id, n := range r.requests {
		if n > 1 {
			w.RequestsTwice = append(w.RequestsTwice, requestWire{id, n})
		}
	}
	slices.SortFunc(w.RequestsTwice, func(x, y requestWire) int { return cmp.Compare(x.RequestID, y.RequestID) })
	for _, name := range slices.Sorted(maps.Keys(r.vms)) {
		if late := r.vms[name].late; late.Starts > 0 {
			w.Leaving = append(w.Leaving, late)
		}
	}
	if includeWorks {
		w.Works = r.sortedWorks()
	}
	return json.Marshal(w)
}

func (r *Recorder) sortedWorks() []workCount {
	out := make([]workCount, 0, len(r.workByID))
	for _, id := range slices.Sorted(maps.Keys(r.workByID)) {
		out = append(out, *r.workByID[id])
	}
	return out
}

func (r *Recorder) initMaps() {
	if r.teams == nil {
		r.teams = map[string]*teamCount{}
		r.workByID = map[string]*workCount{}
		r.requests = map[string]int{}
		r.vms = map[string]*vmCount{}
	}
}

func (r *Recorder) team(name string) *teamCount {
	if r.teams[name] == nil {
		r.teams[name] = &teamCount{Team: name}
	}
	return r.teams[name]
}

func (r *Recorder) work(id string) *workCount {
	if r.workByID[id] == nil {
		r.workByID[id] = &workCount{ID: id}
	}
	return r.workByID[id]
}

func (r *Recorder) vm(name string) *vmCount {
	if r.vms[name] == nil {
		r.vms[name] = &vmCount{running: map[string]int{}, late: lateWire{VM: name}}
	}
	return r.vms[name]
}
