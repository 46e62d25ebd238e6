package fold

import (
	"encoding/binary"
	"encoding/json"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"mangowing/core/codes"
	"mangowing/core/decl"
	"mangowing/core/record"
)

// ErrGap is returned when an entry does not follow the last one folded.
var ErrGap = eris.New("entries are missing before this one")

const (
	recentIDs   = 8192
	historyKept = 200
	maxLease    = time.Hour
	jobsKept    = 50_000
)

// Result tells what became of one record.
type Result struct {
	id     string
	code   codes.Code
	detail string
	faults []string
}

// NewResult returns the result of the record with the id.
func NewResult(id string, code codes.Code, detail string) Result {
	return Result{id: id, code: code, detail: detail}
}

// ID returns the record's id.
func (v Result) ID() string { return v.id }

// Code returns OK for a record in force, else why it changed nothing.
func (v Result) Code() codes.Code { return v.code }

// Detail returns the text for people.
func (v Result) Detail() string { return v.detail }

// Faults returns every fault of a refused change.
func (v Result) Faults() []string { return v.faults }

// Folder applies log entries in order; one goroutine owns it.
type Folder struct {
	state      State
	recent     map[string]codes.Code
	recentRing []string
	claimant   claimant
	jobRing    []string
}

// NewFolder returns a folder at the state before the first entry.
func NewFolder() *Folder {
	return &Folder{recent: map[string]codes.Code{}}
}

// Offset returns the last offset folded.
func (f *Folder) Offset() uint64 { return f.state.offset }

// Publish returns the current state as an immutable copy.
func (f *Folder) Publish() *State {
	s := f.state
	s.objects = f.state.objects.publish()
	s.keys = f.state.keys.publish()
	s.vms = f.state.vms.publish()
	s.waves = f.state.waves.publish()
	s.jobs = f.state.jobs.publish()
	s.allots = f.state.allots.publish()
	return &s
}

// Apply folds the entry at the offset; an entry already folded changes nothing, a later one than the next is ErrGap.
// The entry that follows offset 0 may have any offset only if it is 1.
func (f *Folder) Apply(offset uint64, data []byte) ([]Result, error) {
	if offset <= f.state.offset {
		return nil, nil
	}
	if offset != f.state.offset+1 {
		return nil, ErrGap
	}
	f.state.offset = offset
	f.mixDigest(data)
	raws, err := record.SplitBatch(data)
	if err != nil {
		f.state.malformed++
		return []Result{{code: codes.RecordMalformed}}, nil
	}
	verdicts := make([]Result, 0, len(raws))
	for _, raw := range raws {
		verdicts = append(verdicts, f.applyRaw(raw))
	}
	return verdicts, nil
}

// RecentResult returns the result of a record folded lately, and whether it is still remembered.
func (f *Folder) RecentResult(id string) (Result, bool) {
	code, ok := f.recent[id]
	return Result{id: id, code: code}, ok
}

func (f *Folder) mixDigest(data []byte) {
	var previous [8]byte
	binary.LittleEndian.PutUint64(previous[:], f.state.digest)
	h := xxhash.New()
	_, _ = h.Write(previous[:])
	_, _ = h.Write(data)
	f.state.digest = h.Sum64()
}

func (f *Folder) applyRaw(raw json.RawMessage) Result {
	r, err := record.Decode(raw)
	if err != nil {
		f.state.malformed++
		return Result{code: codes.RecordMalformed}
	}
	if code, repeat := f.recent[r.ID()]; repeat {
		return Result{id: r.ID(), code: code, detail: "repeat"}
	}
	f.state.seq++
	f.advance(r.AtMs())
	v := f.applyBody(r)
	if v.code == codes.RecordMalformed {
		f.state.malformed++
	}
	v.id = r.ID()
	f.remember(r.ID(), v.code)
	return v
}

func (f *Folder) remember(id string, code codes.Code) {
	f.recent[id] = code
	f.recentRing = append(f.recentRing, id)
	if len(f.recentRing) > recentIDs {
		delete(f.recent, f.recentRing[0])
		f.recentRing = f.recentRing[1:]
	}
}

func (f *Folder) applyBody(r record.Record) Result {
	switch body := r.Body().(type) {
	case record.Change:
		return f.applyChange(r, body)
	case record.KeyGrant:
		return f.applyGrant(body)
	case record.KeyWithdraw:
		return f.applyWithdraw(body)
	case record.Lease:
		return f.applyLease(body)
	case record.VMStep:
		return f.applyVMStep(r, body.Spec())
	case record.Claim:
		return f.applyClaim(r, body)
	case record.WaveStep:
		return f.applyWaveStep(r, body)
	case record.JobStep:
		return f.applyJobStep(r, body.Spec())
	case record.Allotment:
		return f.applyAllotment(body)
	case record.Snapshot:
		return Result{}
	default:
		return Result{code: codes.RecordMalformed}
	}
}

func refuse(code codes.Code, detail string) Result {
	return Result{code: code, detail: detail}
}

func (f *Folder) applyGrant(g record.KeyGrant) Result {
	if k, ok := f.state.keys.get(g.Hash()); ok {
		if k.w.Withdrawn {
			return refuse(codes.KeyWithdrawn, "a withdrawn key is never granted again")
		}
		return refuse(codes.RevisionConflict, "the key is granted already")
	}
	if _, ok := f.state.Config().Team(g.Team()); !ok {
		return refuse(codes.ObjectUnknown, "team "+g.Team())
	}
	f.state.keys.set(g.Hash(), Key{keyWire{Team: g.Team(), Label: g.Label()}})
	return Result{}
}

// applyWithdraw also takes hashes never granted, so that a withdrawal that overtakes its grant still holds.
func (f *Folder) applyWithdraw(w record.KeyWithdraw) Result {
	k, _ := f.state.keys.get(w.Hash())
	k.w.Withdrawn = true
	f.state.keys.set(w.Hash(), k)
	return Result{}
}

func (f *Folder) applyLease(l record.Lease) Result {
	current := f.state.lease.w
	if l.Holder() == "" || l.TTLMs() <= 0 || l.TTLMs() > maxLease.Milliseconds() {
		return refuse(codes.RecordMalformed, "a lease needs a holder and a time of at most "+maxLease.String())
	}
	if l.Base() != current.Revision {
		return refuse(codes.RevisionConflict, "the lease changed")
	}
	next := leaseWire{Holder: l.Holder(), Revision: f.state.seq, Token: current.Token, TTLMs: l.TTLMs()}
	if l.Holder() != current.Holder {
		next.Token = f.state.seq
	}
	f.state.lease = Lease{next}
	return Result{}
}

func (f *Folder) fenced(token uint64) bool {
	return token != 0 && token != f.state.lease.w.Token
}

func (f *Folder) applyVMStep(r record.Record, s record.VMStepSpec) Result {
	if f.fenced(s.Token) {
		return refuse(codes.FencedOff, "the planner's lease passed on")
	}
	if s.VM == "" {
		return refuse(codes.RecordMalformed, "a step needs a VM")
	}
	if _, ok := f.state.Config().Pool(s.Target); s.State == VMDraining && s.Target != "" && !ok {
		return refuse(codes.ObjectUnknown, "pool "+s.Target)
	}
	current := f.state.VM(s.VM)
	if s.Base != current.w.Revision {
		return refuse(codes.RevisionConflict, "VM "+s.VM+" changed")
	}
	if problem := checkVMStep(current, s); problem != "" {
		return refuse(codes.RevisionConflict, problem)
	}
	if s.State == VMDraining && s.Pool != "" && f.state.Serving(s.Pool) <= f.state.MinServing(s.Pool) {
		return refuse(codes.BudgetSpent, "pool "+s.Pool+" is at its minimum of serving VMs")
	}
	f.state.vms.set(s.VM, VM{nextVM(current.w, s, f.state.seq, r.AtMs())})
	f.state.fleetSeq = f.state.seq
	return Result{}
}

func nextVM(current vmWire, s record.VMStepSpec, seq uint64, atMs int64) vmWire {
	next := vmWire{
		Revision: seq, Since: atMs, Generation: s.Generation,
		State: s.State, Pool: s.Pool, Target: s.Target, Wave: s.Wave,
		Manual: current.Manual, Maintained: current.Maintained,
	}
	if s.State == VMDraining {
		next.Manual = s.Token == 0 && s.Target != ""
	}
	if current.State == VMRebooting && s.State == VMServing {
		next.Maintained = seq
	}
	return next
}

func (f *Folder) applyWaveStep(r record.Record, s record.WaveStep) Result {
	if f.fenced(s.Token()) {
		return refuse(codes.FencedOff, "the planner's lease passed on")
	}
	if _, ok := f.state.Config().Wave(s.Wave()); !ok {
		return refuse(codes.ObjectUnknown, "wave "+s.Wave())
	}
	current := f.state.Wave(s.Wave())
	if s.Base() != current.w.Revision {
		return refuse(codes.RevisionConflict, "wave "+s.Wave()+" changed")
	}
	if !waveMayStep(current.w.State, s.State()) {
		return refuse(codes.RevisionConflict, "wave "+s.Wave()+" is "+current.w.State)
	}
	next := current.w
	next.Revision, next.State, next.Reason = f.state.seq, s.State(), s.Reason()
	if s.State() == WaveRunning && current.w.State != WavePaused {
		next.Run, next.StartedMs = f.state.seq, r.AtMs()
	}
	f.state.waves.set(s.Wave(), Wave{next})
	f.state.fleetSeq = f.state.seq
	return Result{}
}

func (f *Folder) applyJobStep(r record.Record, s record.JobStepSpec) Result {
	if f.fenced(s.Token) {
		return refuse(codes.FencedOff, "the planner's lease passed on")
	}
	if s.Job == "" {
		return refuse(codes.RecordMalformed, "a step needs a job")
	}
	current, known := f.state.jobs.get(s.Job)
	if s.Base != current.w.Revision {
		return refuse(codes.RevisionConflict, "job "+s.Job+" changed")
	}
	next := jobWire{Revision: f.state.seq, AtMs: r.AtMs(), Step: s, Workers: current.w.Workers}
	if known {
		next.Step.Spec = current.w.Step.Spec
	} else {
		f.jobRing = append(f.jobRing, s.Job)
	}
	if s.Worker != "" && !contains(next.Workers, s.Worker) {
		next.Workers = append(next.Workers[:len(next.Workers):len(next.Workers)], s.Worker)
	}
	f.state.jobs.set(s.Job, Job{next})
	if len(f.jobRing) > jobsKept {
		f.state.jobs.remove(f.jobRing[0])
		f.jobRing = f.jobRing[1:]
	}
	return Result{}
}

func contains(list []string, s string) bool {
	for _, item := range list {
		if item == s {
			return true
		}
	}
	return false
}

func (f *Folder) applyChange(r record.Record, c record.Change) Result {
	v := f.tryChange(r, c)
	entry := historyWire{f.state.seq, r.ID(), r.Writer(), r.AtMs(), c.Note(), len(c.Objects()), uint16(v.code)}
	history := append(f.state.history[:len(f.state.history):len(f.state.history)], HistoryEntry{entry})
	if len(history) > historyKept {
		history = history[len(history)-historyKept:]
	}
	f.state.history = history
	return v
}

func (f *Folder) tryChange(r record.Record, c record.Change) Result {
	proposed := f.state.objects.toMap()
	for _, o := range c.Objects() {
		key := objectKey(o.Kind(), o.Name())
		if proposed[key].base() != o.Base() {
			return refuse(codes.RevisionConflict, "["+key+"] changed")
		}
		proposed[key] = storedObject{f.state.seq, o}
	}
	cfg, faults := decl.Compile(liveObjects(proposed))
	if len(faults) > 0 {
		return Result{code: codes.DeclarationClash, faults: faultTexts(faults)}
	}
	for _, o := range c.Objects() {
		f.state.objects.set(objectKey(o.Kind(), o.Name()), storedObject{f.state.seq, o.WithBase(0)})
	}
	f.adopt(r, cfg)
	return Result{}
}

func liveObjects(stored map[string]storedObject) []record.Object {
	out := make([]record.Object, 0, len(stored))
	for _, s := range stored {
		if !s.Object.IsRemoved() {
			out = append(out, s.Object)
		}
	}
	return out
}

func faultTexts(faults []decl.Fault) []string {
	out := make([]string, 0, len(faults))
	for _, fault := range faults {
		out = append(out, fault.String())
	}
	return out
}

// adopt puts a configuration in force without moving any VM: one whose declared home changed stays where it is until a planner moves it.
func (f *Folder) adopt(r record.Record, cfg *decl.Config) {
	old := f.state.Config()
	for _, pool := range old.Pools() {
		p, _ := old.Pool(pool)
		for _, name := range p.VMs() {
			if _, stepped := f.state.vms.get(name); !stepped && cfg.Home(name) != pool {
				f.state.vms.set(name, VM{vmWire{Revision: f.state.seq, Since: r.AtMs(), State: VMServing, Pool: pool}})
			}
		}
	}
	f.state.config = cfg
	f.state.fleetSeq = f.state.seq
	f.splitLimits(cfg)
}

// splitLimits keeps every team's split equal to its limit and only raises or only lowers counts for one change of a limit.
func (f *Folder) splitLimits(cfg *decl.Config) {
	for _, name := range cfg.Teams() {
		team, _ := cfg.Team(name)
		current, _ := f.state.allots.get(name)
		next := current.withLimit(name, cfg.Fleet().DataCentres(), team.Limit())
		if !maps.Equal(next.Split, current.Split) {
			next.Revision = f.state.seq
			f.state.allots.set(name, next)
		}
	}
	for _, name := range f.state.allots.keys() {
		if _, ok := cfg.Team(name); !ok {
			f.state.allots.remove(name)
		}
	}
}

func (f *Folder) applyAllotment(a record.Allotment) Result {
	current, ok := f.state.allots.get(a.Team())
	if !ok {
		return refuse(codes.ObjectUnknown, "team "+a.Team())
	}
	if a.Base() != current.Revision {
		return refuse(codes.RevisionConflict, "the split of team "+a.Team()+" changed")
	}
	next := allotState{Revision: f.state.seq, Split: make(map[string]int, len(current.Split)), Pending: current.Pending, Lost: current.Lost}
	maps.Copy(next.Split, current.Split)
	switch a.Phase() {
	case "intent":
		_, declared := current.Split[a.To()]
		if current.Pending != nil || !declared || a.Count() <= 0 || a.Count() > current.Split[a.From()] || a.From() == a.To() {
			return refuse(codes.RevisionConflict, "no such hand-over is possible")
		}
		next.Pending = &pendingAllot{a.From(), a.To(), a.Count()}
	case "release":
		if current.Pending == nil {
			return refuse(codes.RevisionConflict, "no hand-over is pending")
		}
		next.Split[current.Pending.From] -= current.Pending.Count
		next.Split[current.Pending.To] += current.Pending.Count
		next.Pending = nil
	default:
		return refuse(codes.RecordMalformed, "phase "+a.Phase())
	}
	f.state.allots.set(a.Team(), next)
	return Result{}
}
