package fold

import (
	"mangowing/core/decl"
	"mangowing/core/record"
)

// Key is a granted key: its team, the operator's label and whether it was withdrawn.
type Key struct {
	w keyWire
}

type keyWire struct {
	Team      string `json:"team"`
	Label     string `json:"label,omitempty"`
	Withdrawn bool   `json:"withdrawn,omitempty"`
}

// Team returns the team for which the key is valid.
func (k Key) Team() string { return k.w.Team }

// Label returns the operator's label.
func (k Key) Label() string { return k.w.Label }

// IsWithdrawn reports whether the key was withdrawn, which is permanent.
func (k Key) IsWithdrawn() bool { return k.w.Withdrawn }

// States of a VM.
const (
	VMServing     = "serving"
	VMDraining    = "draining"
	VMMoving      = "moving"
	VMRebooting   = "rebooting"
	VMQuarantined = "quarantined"
	VMLeaving     = "leaving"
)

// VM is the folded state of one VM.
type VM struct {
	w vmWire
}

type vmWire struct {
	Revision   uint64 `json:"revision"`
	SinceMs    int64  `json:"since-ms"`
	Generation uint64 `json:"generation"`
	State      string `json:"state"`
	Pool       string `json:"pool"`
	Target     string `json:"target,omitempty"`
	Wave       string `json:"wave,omitempty"`
	Manual     bool   `json:"manual,omitempty"`
	Maintained uint64 `json:"maintained,omitempty"`
}

// Revision returns the revision that the next step must have as its base, 0 for a VM without a step.
func (v VM) Revision() uint64 { return v.w.Revision }

// SinceMs returns the wall clock of the last step's writer in Unix milliseconds.
func (v VM) SinceMs() int64 { return v.w.SinceMs }

// Generation returns the VM's generation as recorded by the last step.
func (v VM) Generation() uint64 { return v.w.Generation }

// State returns the VM's state, such as VMServing.
func (v VM) State() string { return v.w.State }

// Pool returns the pool to which the VM belongs.
func (v VM) Pool() string { return v.w.Pool }

// Target returns the destination pool of a move, empty for none.
func (v VM) Target() string { return v.w.Target }

// Wave returns the wave that caused the last step, empty for none.
func (v VM) Wave() string { return v.w.Wave }

// MovedManually reports whether an operator requested the last move.
func (v VM) MovedManually() bool { return v.w.Manual }

// MaintainedRevision returns the revision at which the VM last returned to serving after a reboot, 0 for never.
func (v VM) MaintainedRevision() uint64 { return v.w.Maintained }

// Lease is the planner's lease as recorded in the log.
type Lease struct {
	w leaseWire
}

type leaseWire struct {
	Holder   string `json:"holder"`
	Revision uint64 `json:"revision"`
	Token    uint64 `json:"token"`
	TTLMs    int64  `json:"ttl-ms"`
}

// Holder returns the incarnation that holds the lease, empty for none.
func (l Lease) Holder() string { return l.w.Holder }

// Revision returns the revision that the next acquisition or renewal must have as its base.
func (l Lease) Revision() uint64 { return l.w.Revision }

// Token returns the fencing token, which grows whenever the holder changes.
func (l Lease) Token() uint64 { return l.w.Token }

// TTLMs returns how long the lease lasts in milliseconds.
func (l Lease) TTLMs() int64 { return l.w.TTLMs }

// States of a wave.
const (
	WavePlanned   = "planned"
	WaveRunning   = "running"
	WavePaused    = "paused"
	WaveCancelled = "cancelled"
	WaveDone      = "done"
)

// Wave is the folded progress of one maintenance wave.
type Wave struct {
	w waveWire
}

type waveWire struct {
	Revision  uint64 `json:"revision"`
	StartedMs int64  `json:"started-ms"`
	State     string `json:"state"`
	Reason    string `json:"reason,omitempty"`
	Run       uint64 `json:"run"`
}

// Revision returns the revision that the next step must have as its base, 0 for a wave without a step.
func (w Wave) Revision() uint64 { return w.w.Revision }

// State returns the wave's state, such as WaveRunning.
func (w Wave) State() string { return w.w.State }

// Reason returns why the last step was taken.
func (w Wave) Reason() string { return w.w.Reason }

// StartedMs returns the writer's wall clock at the start in Unix milliseconds.
func (w Wave) StartedMs() int64 { return w.w.StartedMs }

// StartRevision returns the revision of the wave's last start. VMs with a higher MaintainedRevision are done.
func (w Wave) StartRevision() uint64 { return w.w.Run }

// Claim is the first claim on an idempotency key.
type Claim struct {
	e claimEntry
}

// Holder returns the incarnation that may start the request.
func (c Claim) Holder() string { return c.e.holder }

// MatchesDigest reports whether the claim is for the request with the digest.
func (c Claim) MatchesDigest(digest string) bool { return c.e.digest == hashOf(digest) }

// Job is the folded state of one job.
type Job struct {
	w jobWire
}

type jobWire struct {
	Revision uint64             `json:"revision"`
	AtMs     int64              `json:"at-ms"`
	Step     record.JobStepSpec `json:"step"`
	Workers  []string           `json:"workers,omitempty"`
}

// Revision returns the revision that the next step must have as its base.
func (j Job) Revision() uint64 { return j.w.Revision }

// AtMs returns the wall clock of the last step's writer in Unix milliseconds.
func (j Job) AtMs() int64 { return j.w.AtMs }

// Step returns the last step's fields.
func (j Job) Step() record.JobStepSpec { return j.w.Step }

// Workers returns the distinct workers on which the job was started.
func (j Job) Workers() []string { return j.w.Workers }

// HistoryEntry is one accepted or refused change.
type HistoryEntry struct {
	w historyWire
}

type historyWire struct {
	Revision uint64 `json:"revision"`
	ID       string `json:"id"`
	By       string `json:"by"`
	AtMs     int64  `json:"at-ms"`
	Note     string `json:"note,omitempty"`
	Objects  int    `json:"objects"`
	Code     uint16 `json:"code"`
}

// Revision returns the change's position in the log's sequence of records.
func (h HistoryEntry) Revision() uint64 { return h.w.Revision }

// ID returns the record's id.
func (h HistoryEntry) ID() string { return h.w.ID }

// Operator returns the operator who made the change.
func (h HistoryEntry) Operator() string { return h.w.By }

// AtMs returns the writer's wall clock in Unix milliseconds.
func (h HistoryEntry) AtMs() int64 { return h.w.AtMs }

// Note returns the operator's note.
func (h HistoryEntry) Note() string { return h.w.Note }

// Objects returns the number of sections changed.
func (h HistoryEntry) Objects() int { return h.w.Objects }

// Code returns the numeric result code.
func (h HistoryEntry) Code() uint16 { return h.w.Code }

type storedObject struct {
	Revision uint64        `json:"revision"`
	Object   record.Object `json:"object"`
}

// requiredBase returns the revision that the next change must have as its base: 0 for a removed section, as for a new one.
func (s storedObject) requiredBase() uint64 {
	if s.Object.IsRemoved() {
		return 0
	}
	return s.Revision
}

type allotmentState struct {
	Revision uint64           `json:"revision"`
	Split    map[string]int   `json:"split"`
	Pending  *pendingHandover `json:"pending,omitempty"`
	Lost     []lostCounts     `json:"lost,omitempty"`
}

// lostCounts is how many rights each data centre lost when the limit was lowered; the latest loss is restored first.
type lostCounts map[string]int

type pendingHandover struct {
	From  string `json:"from"`
	To    string `json:"to"`
	Count int    `json:"count"`
}

// State is an immutable state of the fold; the zero value is the state before the first record.
type State struct {
	offset        uint64
	revision      uint64
	config        *decl.Config
	objects       table[storedObject]
	keys          table[Key]
	vms           table[VM]
	waves         table[Wave]
	claims        claimTable
	clockMs       int64
	jobs          table[Job]
	allotments    table[allotmentState]
	lease         Lease
	fleetRevision uint64
	history       []HistoryEntry
	malformed     uint64
	digest        uint64
}

// Offset returns the last log offset folded, 0 before the first.
func (s *State) Offset() uint64 { return s.offset }

// Revision returns the number of records folded.
func (s *State) Revision() uint64 { return s.revision }

// FleetRevision returns the revision of the last record that changed configuration, a VM or a wave.
func (s *State) FleetRevision() uint64 { return s.fleetRevision }

// Digest returns a hash of all entries folded, which is the same on every gate at the same offset.
func (s *State) Digest() uint64 { return s.digest }

// Malformed returns how many malformed records and entries were skipped.
func (s *State) Malformed() uint64 { return s.malformed }

// Config returns the configuration in force, never nil.
func (s *State) Config() *decl.Config {
	if s.config == nil {
		return decl.Empty()
	}
	return s.config
}

// Key returns the key with the given hex SHA-256 hash.
func (s *State) Key(hash string) (Key, bool) { return s.keys.get(hash) }

// KeyHashes returns the sorted hashes of all keys ever granted or withdrawn.
func (s *State) KeyHashes() []string { return s.keys.keys() }

// VM returns the folded state of a VM. One without a step serves in the pool that declares it, an undeclared one in no pool.
func (s *State) VM(name string) VM {
	if v, ok := s.vms.get(name); ok {
		return v
	}
	return VM{vmWire{State: VMServing, Pool: s.Config().HomePool(name)}}
}

// VMNames returns the sorted names of all VMs with a recorded step.
func (s *State) VMNames() []string { return s.vms.keys() }

// Serving returns how many VMs of the pool are in state serving.
func (s *State) Serving(pool string) int {
	n := 0
	p, _ := s.Config().Pool(pool)
	for _, name := range p.VMs() {
		if _, stepped := s.vms.get(name); !stepped {
			n++
		}
	}
	for _, v := range s.vms.all() {
		if v.Pool() == pool && v.State() == VMServing {
			n++
		}
	}
	return n
}

// MinServing returns how many VMs of the pool must keep serving: the highest of its own minimum and those of the running
// waves that cover it.
func (s *State) MinServing(pool string) int {
	p, _ := s.Config().Pool(pool)
	minServing := p.MinServing()
	for name, w := range s.waves.all() {
		declared, ok := s.Config().Wave(name)
		if ok && w.State() == WaveRunning && declared.Covers(pool) {
			minServing = max(minServing, declared.MinServing())
		}
	}
	return minServing
}

// Wave returns the progress of a wave; one without a step is planned.
func (s *State) Wave(name string) Wave {
	if w, ok := s.waves.get(name); ok {
		return w
	}
	return Wave{waveWire{State: WavePlanned}}
}

// Claim returns the first claim on a team's idempotency key.
func (s *State) Claim(team, key string) (Claim, bool) {
	e, ok := s.claims.get(claimKey(team, key))
	return Claim{e}, ok
}

// Job returns the job with the given id.
func (s *State) Job(id string) (Job, bool) { return s.jobs.get(id) }

// JobIDs returns the sorted ids of all stored jobs.
func (s *State) JobIDs() []string { return s.jobs.keys() }

// Lease returns the planner's lease.
func (s *State) Lease() Lease { return s.lease }

// History returns the latest changes, oldest first.
func (s *State) History() []HistoryEntry { return s.history }

// Object returns a declared section and its revision, 0 if it was never declared.
func (s *State) Object(kind, name string) (record.Object, uint64) {
	stored, _ := s.objects.get(objectKey(kind, name))
	return stored.Object, stored.Revision
}

// Objects returns all declared sections, sorted by kind and name.
func (s *State) Objects() []record.Object {
	var out []record.Object
	for _, key := range s.objects.keys() {
		stored, _ := s.objects.get(key)
		if !stored.Object.IsRemoved() {
			out = append(out, stored.Object.WithBase(stored.Revision))
		}
	}
	return out
}

// Allotment returns how many rights of the team's limit a data centre holds. The counts of all data centres sum to the
// limit, except during a pending hand-over: the sender's count is already lowered and the receiver's not yet raised.
func (s *State) Allotment(team, dataCentre string) int {
	a, _ := s.allotments.get(team)
	n := a.Split[dataCentre]
	if a.Pending != nil && a.Pending.From == dataCentre {
		n -= a.Pending.Count
	}
	return n
}

// AllotmentRevision returns the revision that the next allotment record for the team must have as its base.
func (s *State) AllotmentRevision(team string) uint64 {
	a, _ := s.allotments.get(team)
	return a.Revision
}

// PendingAllotment returns the team's pending hand-over between data centres and whether there is one.
func (s *State) PendingAllotment(team string) (from, to string, count int, pending bool) {
	a, _ := s.allotments.get(team)
	if a.Pending == nil {
		return "", "", 0, false
	}
	return a.Pending.From, a.Pending.To, a.Pending.Count, true
}

func objectKey(kind, name string) string { return kind + " " + name }

func claimKey(team, key string) claimHash { return hashOf(team + "\x00" + key) }
