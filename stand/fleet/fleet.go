package fleet

import (
	"strings"
	"sync"
	"time"

	"mangowing/stand/count"
)

// Config holds the timing of the platform's VM list and reboots.
type Config struct {
	ListLag    time.Duration // delay until a change shows in the list
	RebootTime time.Duration // how long a reboot takes
}

// Worker is the worker process of a VM; the fleet opens and closes it with the VM.
type Worker interface {
	Open() error
	Address() string
	Close()
	Tick(now time.Time)
	SetFault(name string, value int) bool
}

// VMSpec describes a VM that Add puts into the fleet.
type VMSpec struct {
	Name         string // the VM's name
	DataCentre   string // the data centre's name
	Rack         string // the rack's name
	Cores        int    // processor cores
	MemoryGB     int    // memory in gigabytes
	Accelerators int    // number of accelerators
	Slots        int    // maximum of requests that run at once
	Connections  int    // maximum of open connections
	Pool         string // the pool's name
}

const (
	stateLive    = "live"
	stateLeaving = "leaving"
	stateGone    = "gone"
)

// Fleet holds the VMs' actual state and the changes that the lagging list has published so far.
type Fleet struct {
	cfg           Config
	recorder      *count.Recorder
	mu            sync.Mutex
	vms           map[string]*vm
	names         []string
	changes       []change
	listedChanges int
	changed       chan struct{}
	results       map[string]result
	isListDown    bool
	isListFrozen  bool
}

type vm struct {
	row         vmWire
	worker      Worker
	isRebooting bool
	staysDown   bool
	answersLost int
}

// change is one version of the list: a VM's new row and the time of the change.
type change struct {
	at  time.Time
	row vmWire
}

// New returns a fleet without VMs.
func New(cfg Config, recorder *count.Recorder) *Fleet {
	return &Fleet{
		cfg:      cfg,
		recorder: recorder,
		vms:      map[string]*vm{},
		changed:  make(chan struct{}),
		results:  map[string]result{},
	}
}

// Add puts a VM into the fleet; the list shows it once the fleet is open.
func (f *Fleet) Add(s VMSpec, worker Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := &vm{worker: worker, row: vmWire{
		Name:         s.Name,
		DataCentre:   s.DataCentre,
		Rack:         s.Rack,
		Generation:   1,
		State:        stateLive,
		Cores:        s.Cores,
		MemoryGB:     s.MemoryGB,
		Accelerators: s.Accelerators,
		Slots:        s.Slots,
		Connections:  s.Connections,
		Pool:         s.Pool,
	}}
	f.vms[s.Name] = v
	f.names = append(f.names, s.Name)
	f.recorder.SetPool(s.Name, s.Pool)
}

// Open opens the worker of each VM and lists all VMs at once.
func (f *Fleet) Open() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range f.names {
		v := f.vms[name]
		if err := v.worker.Open(); err != nil {
			return err
		}
		v.row.Address = v.worker.Address()
		f.appendChange(v, time.Time{})
	}
	f.publishChanges(time.Now())
	return nil
}

// Close closes the worker of each VM.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range f.vms {
		v.worker.Close()
	}
}

// Tick publishes the changes that are at least ListLag old, and calls Tick of each worker.
func (f *Fleet) Tick(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.publishChanges(now)
	for _, v := range f.vms {
		v.worker.Tick(now)
	}
}

func (f *Fleet) appendChange(v *vm, now time.Time) {
	f.changes = append(f.changes, change{now, v.row})
}

func (f *Fleet) publishChanges(now time.Time) {
	if f.isListFrozen {
		return
	}
	before := f.listedChanges
	for f.listedChanges < len(f.changes) && now.Sub(f.changes[f.listedChanges].at) >= f.cfg.ListLag {
		if row := f.changes[f.listedChanges].row; row.State == stateLeaving {
			f.recorder.SetListed(row.Name, now)
		}
		f.listedChanges++
	}
	if f.listedChanges > before {
		f.notifyWaiters()
	}
}

func (f *Fleet) notifyWaiters() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// changesSince returns the list's version, the latest listed row of each VM that changed after the given version, and a
// channel that is closed at the next change. A version above the current one comes from an earlier run of the platform and
// gets the whole list.
func (f *Fleet) changesSince(version uint64) (uint64, []vmWire, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version > uint64(f.listedChanges) {
		version = 0
	}
	latest := map[string]int{}
	for i := int(version); i < f.listedChanges; i++ {
		latest[f.changes[i].row.Name] = i
	}
	rows := []vmWire{}
	for i := int(version); i < f.listedChanges; i++ {
		if row := f.changes[i].row; latest[row.Name] == i {
			rows = append(rows, row)
		}
	}
	return uint64(f.listedChanges), rows, f.changed
}

// SetListFault switches a fault of the VM list on (value above 0) or off (0): down or frozen. It reports whether such a
// fault exists.
func (f *Fleet) SetListFault(name string, value int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch name {
	case "down":
		f.isListDown = value > 0
	case "frozen":
		f.isListFrozen = value > 0
	default:
		return false
	}
	f.notifyWaiters()
	return true
}

func (f *Fleet) isListUnavailable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isListDown
}

// SetFault switches a fault of the target's VMs on (value above 0) or off (0). The target is a VM's name, "all",
// "rack:NAME" or "data-centre:NAME". It returns the number of VMs of the target and whether such a fault exists.
func (f *Fleet) SetFault(target, name string, value int, now time.Time) (vms int, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known = true
	for _, vmName := range f.names {
		if v := f.vms[vmName]; v.isTarget(target) {
			vms++
			known = known && f.setFault(v, name, value, now)
		}
	}
	return vms, known
}

func (v *vm) isTarget(target string) bool {
	if rack, ok := strings.CutPrefix(target, "rack:"); ok {
		return v.row.Rack == rack
	}
	if dataCentre, ok := strings.CutPrefix(target, "data-centre:"); ok {
		return v.row.DataCentre == dataCentre
	}
	return target == "all" || v.row.Name == target
}

func (f *Fleet) setFault(v *vm, name string, value int, now time.Time) bool {
	on := value > 0
	switch name {
	case "leaving":
		f.setLeaving(v, on, now)
	case "gone":
		f.setGone(v, on, now)
	case "no-return":
		f.setStaysDown(v, on, now)
	case "action-answers-lost":
		v.answersLost = value
	default:
		return v.worker.SetFault(name, value)
	}
	return true
}

func (f *Fleet) setLeaving(v *vm, on bool, now time.Time) {
	if on == (v.row.State == stateLeaving) || v.row.State == stateGone {
		return
	}
	v.row.State = stateLive
	leavingAt := time.Time{}
	if on {
		v.row.State, leavingAt = stateLeaving, now
	}
	f.recorder.SetLeaving(v.row.Name, leavingAt)
	f.appendChange(v, now)
}

func (f *Fleet) setGone(v *vm, on bool, now time.Time) {
	if on == (v.row.State == stateGone) {
		return
	}
	if on {
		f.closeWorker(v, now)
		return
	}
	f.reopenWorker(v, now)
}

func (f *Fleet) setStaysDown(v *vm, on bool, now time.Time) {
	v.staysDown = on
	if !on && v.isRebooting {
		f.reopenWorker(v, now)
	}
}

// closeWorker closes the VM's worker and lists the VM as gone.
func (f *Fleet) closeWorker(v *vm, now time.Time) {
	v.worker.Close()
	v.isRebooting = false
	v.row.State = stateGone
	f.appendChange(v, now)
}

// reopenWorker opens the VM's worker in a new generation; the VM stays as it is if the worker can't listen.
func (f *Fleet) reopenWorker(v *vm, now time.Time) {
	if v.worker.Open() != nil {
		return
	}
	v.isRebooting = false
	v.row.Generation++
	if v.row.State == stateGone {
		v.row.State = stateLive
		f.recorder.SetLeaving(v.row.Name, time.Time{})
	}
	f.appendChange(v, now)
}
