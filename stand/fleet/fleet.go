package fleet

import (
	"strings"
	"sync"
	"time"

	"mangowing/stand/count"
)

// Config is how the platform's VM list and reboots behave.
type Config struct {
	ListLag    time.Duration // how long a change takes to show in the list
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

// VMSpec is what a VM consists of.
type VMSpec struct {
	Name         string // the VM's name
	DataCentre   string // the data centre's name
	Rack         string // the rack's name
	Cores        int    // processor cores
	MemoryGB     int    // memory in gigabytes
	Accelerators int    // number of accelerators
	Slots        int    // requests that run at once
	Connections  int    // connections open at once
	Pool         string // the pool's name
}

const (
	stateLive    = "live"
	stateLeaving = "leaving"
	stateGone    = "gone"
)

// Fleet is all VMs as they are and as the list tells.
type Fleet struct {
	cfg      Config
	board    *count.Recorder
	mu       sync.Mutex
	vms      map[string]*vm
	order    []string
	changes  []change
	listed   int
	changed  chan struct{}
	requests map[string]result
	down     bool
	frozen   bool
}

type vm struct {
	row         vmWire
	machine     Worker
	rebooting   bool
	noReturn    bool
	answersLost int
}

// change is one version of the list: the row as it became and when.
type change struct {
	at  time.Time
	row vmWire
}

// New returns a fleet without VMs.
func New(cfg Config, board *count.Recorder) *Fleet {
	return &Fleet{
		cfg:      cfg,
		board:    board,
		vms:      map[string]*vm{},
		changed:  make(chan struct{}),
		requests: map[string]result{},
	}
}

// Add puts a VM into the fleet; it shows in the list once the fleet is open.
func (f *Fleet) Add(s VMSpec, machine Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := &vm{machine: machine, row: vmWire{
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
	f.order = append(f.order, s.Name)
	f.board.SetPool(s.Name, s.Pool)
}

// Open starts every VM's machine.
func (f *Fleet) Open() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range f.order {
		v := f.vms[name]
		if err := v.machine.Open(); err != nil {
			return err
		}
		v.row.Address = v.machine.Address()
		f.note(v, time.Time{})
	}
	f.publish(time.Now())
	return nil
}

// Close ends every VM's machine.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range f.vms {
		v.machine.Close()
	}
}

// Tick lists the changes that are old enough and lets each machine go on.
func (f *Fleet) Tick(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.publish(now)
	for _, v := range f.vms {
		v.machine.Tick(now)
	}
}

func (f *Fleet) note(v *vm, now time.Time) {
	f.changes = append(f.changes, change{now, v.row})
}

func (f *Fleet) publish(now time.Time) {
	if f.frozen {
		return
	}
	before := f.listed
	for f.listed < len(f.changes) && now.Sub(f.changes[f.listed].at) >= f.cfg.ListLag {
		if row := f.changes[f.listed].row; row.State == stateLeaving {
			f.board.SetListed(row.Name, now)
		}
		f.listed++
	}
	if f.listed > before {
		f.wake()
	}
}

func (f *Fleet) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// since returns the list's version and the listed rows that changed after a version.
func (f *Fleet) since(version uint64) (uint64, []vmWire, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version > uint64(f.listed) {
		version = 0
	}
	latest := map[string]int{}
	for i := int(version); i < f.listed; i++ {
		latest[f.changes[i].row.Name] = i
	}
	rows := []vmWire{}
	for i := int(version); i < f.listed; i++ {
		if row := f.changes[i].row; latest[row.Name] == i {
			rows = append(rows, row)
		}
	}
	return uint64(f.listed), rows, f.changed
}

// SetListFault switches a fault of the VM list on by a value above 0 and off by 0: down or frozen; it tells whether
// there is such a fault.
func (f *Fleet) SetListFault(name string, value int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch name {
	case "down":
		f.down = value > 0
	case "frozen":
		f.frozen = value > 0
	default:
		return false
	}
	f.wake()
	return true
}

func (f *Fleet) isDown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down
}

// SetFault switches a fault of the VMs that a target names (a VM's name, "all", "rack:NAME" or "data-centre:NAME") on
// by a value above 0 and off by 0; it returns how many VMs the target names and whether there is such a fault.
func (f *Fleet) SetFault(target, name string, value int, now time.Time) (vms int, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known = true
	for _, vmName := range f.order {
		if v := f.vms[vmName]; v.matches(target) {
			vms++
			known = known && f.setFault(v, name, value, now)
		}
	}
	return vms, known
}

func (v *vm) matches(target string) bool {
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
		f.setNoReturn(v, on, now)
	case "action-answers-lost":
		v.answersLost = value
	default:
		return v.machine.SetFault(name, value)
	}
	return true
}

func (f *Fleet) setLeaving(v *vm, on bool, now time.Time) {
	if on == (v.row.State == stateLeaving) || v.row.State == stateGone {
		return
	}
	v.row.State = stateLive
	since := time.Time{}
	if on {
		v.row.State, since = stateLeaving, now
	}
	f.board.SetLeaving(v.row.Name, since)
	f.note(v, now)
}

func (f *Fleet) setGone(v *vm, on bool, now time.Time) {
	if on == (v.row.State == stateGone) {
		return
	}
	if on {
		f.cutOff(v, now)
		return
	}
	f.comeBack(v, now)
}

func (f *Fleet) setNoReturn(v *vm, on bool, now time.Time) {
	v.noReturn = on
	if !on && v.rebooting {
		f.comeBack(v, now)
	}
}

// cutOff ends the VM's machine and lists it as gone.
func (f *Fleet) cutOff(v *vm, now time.Time) {
	v.machine.Close()
	v.rebooting = false
	v.row.State = stateGone
	f.note(v, now)
}

// comeBack opens the VM's machine in a new generation; a machine that can't listen stays away.
func (f *Fleet) comeBack(v *vm, now time.Time) {
	if v.machine.Open() != nil {
		return
	}
	v.rebooting = false
	v.row.Generation++
	if v.row.State == stateGone {
		v.row.State = stateLive
		f.board.SetLeaving(v.row.Name, time.Time{})
	}
	f.note(v, now)
}
