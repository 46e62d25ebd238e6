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

// ErrGap is returned for an entry that does not directly follow the last one folded.
var ErrGap = eris.New("entries are missing before this one")

const (
	maxRecentIDs = 8192
	maxHistory   = 200
	maxLeaseTTL  = time.Hour
	maxJobs      = 50_000
)

// Result is the outcome of folding one record.
type Result struct {
	id     string
	code   codes.Code
	detail string
	faults []string
}

// NewResult returns the result of the record with the given id.
func NewResult(id string, code codes.Code, detail string) Result {
	return Result{id: id, code: code, detail: detail}
}

// ID returns the record's id.
func (r Result) ID() string { return r.id }

// Code returns OK for an accepted record, otherwise the reason why it changed nothing.
func (r Result) Code() codes.Code { return r.code }

// Detail returns a human-readable explanation.
func (r Result) Detail() string { return r.detail }

// Faults returns all declaration faults of a refused change.
func (r Result) Faults() []string { return r.faults }

// Folder applies log entries in order. It is not safe for concurrent use.
type Folder struct {
	state       State
	recentCodes map[string]codes.Code
	recentIDs   []string
	claimOrder  claimOrder
	jobOrder    []string
}

// NewFolder returns a folder in the state before the first entry.
func NewFolder() *Folder {
	return &Folder{recentCodes: map[string]codes.Code{}}
}

// Offset returns the last offset folded.
func (f *Folder) Offset() uint64 { return f.state.offset }

// Publish returns an immutable copy of the current state.
func (f *Folder) Publish() *State {
	s := f.state
	s.objects = f.state.objects.publish()
	s.keys = f.state.keys.publish()
	s.vms = f.state.vms.publish()
	s.waves = f.state.waves.publish()
	s.jobs = f.state.jobs.publish()
	s.allotments = f.state.allotments.publish()
	return &s
}

// Apply folds the entry at the offset and returns the results of its records. An entry that was already folded changes
// nothing; one beyond the next offset returns ErrGap. The first entry has offset 1.
func (f *Folder) Apply(offset uint64, data []byte) ([]Result, error) {
	if offset <= f.state.offset {
		return nil, nil
	}
	if offset != f.state.offset+1 {
		return nil, ErrGap
	}
	f.state.offset = offset
	f.updateDigest(data)
	raws, err := record.SplitBatch(data)
	if err != nil {
		f.state.malformed++
		return []Result{{code: codes.RecordMalformed}}, nil
	}
	results := make([]Result, 0, len(raws))
	for _, raw := range raws {
		results = append(results, f.applyRaw(raw))
	}
	return results, nil
}

// RecentResult returns the id and code of a recently folded record's result, and whether it is still remembered.
func (f *Folder) RecentResult(id string) (Result, bool) {
	code, ok := f.recentCodes[id]
	return Result{id: id, code: code}, ok
}

func (f *Folder) updateDigest(data []byte) {
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
	if code, repeat := f.recentCodes[r.ID()]; repeat {
		return Result{id: r.ID(), code: code, detail: "repeat"}
	}
	f.state.revision++
	f.advanceClock(r.AtMs())
	result := f.applyBody(r)
	if result.code == codes.RecordMalformed {
		f.state.malformed++
	}
	result.id = r.ID()
	f.rememberResult(r.ID(), result.code)
	return result
}

func (f *Folder) rememberResult(id string, code codes.Code) {
	f.recentCodes[id] = code
	f.recentIDs = append(f.recentIDs, id)
	if len(f.recentIDs) > maxRecentIDs {
		delete(f.recentCodes, f.recentIDs[0])
		f.recentIDs = f.recentIDs[1:]
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

// applyWithdraw accepts hashes that were never granted, so that a withdrawal logged before its grant takes effect.
func (f *Folder) applyWithdraw(w record.KeyWithdraw) Result {
	k, _ := f.state.keys.get(w.Hash())
	k.w.Withdrawn = true
	f.state.keys.set(w.Hash(), k)
	return Result{}
}

func (f *Folder) applyLease(l record.Lease) Result {
	current := f.state.lease.w
	if l.Holder() == "" || l.TTLMs() <= 0 || l.TTLMs() > maxLeaseTTL.Milliseconds() {
		return refuse(codes.RecordMalformed, "a lease needs a holder and a time of at most "+maxLeaseTTL.String())
	}
	if l.Base() != current.Revision {
		return refuse(codes.RevisionConflict, "the lease changed")
	}
	next := leaseWire{Holder: l.Holder(), Revision: f.state.revision, Token: current.Token, TTLMs: l.TTLMs()}
	if l.Holder() != current.Holder {
		next.Token = f.state.revision
	}
	f.state.lease = Lease{next}
	return Result{}
}

// isFenced reports whether a planner's step has another fencing token than the current lease. An operator's step has token
// 0 and is never fenced.
func (f *Folder) isFenced(token uint64) bool {
	return token != 0 && token != f.state.lease.w.Token
}

func (f *Folder) applyVMStep(r record.Record, s record.VMStepSpec) Result {
	if f.isFenced(s.Token) {
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
	if problem := vmStepProblem(current, s); problem != "" {
		return refuse(codes.RevisionConflict, problem)
	}
	if s.State == VMDraining && s.Pool != "" && f.state.Serving(s.Pool) <= f.state.MinServing(s.Pool) {
		return refuse(codes.BudgetSpent, "pool "+s.Pool+" is at its minimum of serving VMs")
	}
	f.state.vms.set(s.VM, VM{nextVM(current.w, s, f.state.revision, r.AtMs())})
	f.state.fleetRevision = f.state.revision
	return Result{}
}

func nextVM(current vmWire, s record.VMStepSpec, revision uint64, atMs int64) vmWire {
	next := vmWire{
		Revision: revision, SinceMs: atMs, Generation: s.Generation,
		State: s.State, Pool: s.Pool, Target: s.Target, Wave: s.Wave,
		Manual: current.Manual, Maintained: current.Maintained,
	}
	if s.State == VMDraining {
		next.Manual = s.Token == 0 && s.Target != ""
	}
	if current.State == VMRebooting && s.State == VMServing {
		next.Maintained = revision
	}
	return next
}

func (f *Folder) applyWaveStep(r record.Record, s record.WaveStep) Result {
	if f.isFenced(s.Token()) {
		return refuse(codes.FencedOff, "the planner's lease passed on")
	}
	if _, ok := f.state.Config().Wave(s.Wave()); !ok {
		return refuse(codes.ObjectUnknown, "wave "+s.Wave())
	}
	current := f.state.Wave(s.Wave())
	if s.Base() != current.w.Revision {
		return refuse(codes.RevisionConflict, "wave "+s.Wave()+" changed")
	}
	if !isWaveStepAllowed(current.w.State, s.State()) {
		return refuse(codes.RevisionConflict, "wave "+s.Wave()+" is "+current.w.State)
	}
	next := current.w
	next.Revision, next.State, next.Reason = f.state.revision, s.State(), s.Reason()
	if s.State() == WaveRunning && current.w.State != WavePaused {
		next.Run, next.StartedMs = f.state.revision, r.AtMs()
	}
	f.state.waves.set(s.Wave(), Wave{next})
	f.state.fleetRevision = f.state.revision
	return Result{}
}

func (f *Folder) applyJobStep(r record.Record, s record.JobStepSpec) Result {
	if f.isFenced(s.Token) {
		return refuse(codes.FencedOff, "the planner's lease passed on")
	}
	if s.Job == "" {
		return refuse(codes.RecordMalformed, "a step needs a job")
	}
	current, known := f.state.jobs.get(s.Job)
	if s.Base != current.w.Revision {
		return refuse(codes.RevisionConflict, "job "+s.Job+" changed")
	}
	next := jobWire{Revision: f.state.revision, AtMs: r.AtMs(), Step: s, Workers: current.w.Workers}
	if known {
		next.Step.Spec = current.w.Step.Spec
	} else {
		f.jobOrder = append(f.jobOrder, s.Job)
	}
	if s.Worker != "" && !contains(next.Workers, s.Worker) {
		next.Workers = append(next.Workers[:len(next.Workers):len(next.Workers)], s.Worker)
	}
	f.state.jobs.set(s.Job, Job{next})
	if len(f.jobOrder) > maxJobs {
		f.state.jobs.remove(f.jobOrder[0])
		f.jobOrder = f.jobOrder[1:]
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
	result := f.tryChange(r, c)
	entry := historyWire{f.state.revision, r.ID(), r.Writer(), r.AtMs(), c.Note(), len(c.Objects()), uint16(result.code)}
	history := append(f.state.history[:len(f.state.history):len(f.state.history)], HistoryEntry{entry})
	if len(history) > maxHistory {
		history = history[len(history)-maxHistory:]
	}
	f.state.history = history
	return result
}

func (f *Folder) tryChange(r record.Record, c record.Change) Result {
	proposed := f.state.objects.toMap()
	for _, o := range c.Objects() {
		key := objectKey(o.Kind(), o.Name())
		if proposed[key].requiredBase() != o.Base() {
			return refuse(codes.RevisionConflict, "["+key+"] changed")
		}
		proposed[key] = storedObject{f.state.revision, o}
	}
	cfg, faults := decl.Compile(declaredObjects(proposed))
	if len(faults) > 0 {
		return Result{code: codes.DeclarationClash, faults: faultTexts(faults)}
	}
	for _, o := range c.Objects() {
		f.state.objects.set(objectKey(o.Kind(), o.Name()), storedObject{f.state.revision, o.WithBase(0)})
	}
	f.applyConfig(r, cfg)
	return Result{}
}

func declaredObjects(stored map[string]storedObject) []record.Object {
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

// applyConfig puts a configuration in force without moving any VM. A VM whose declared pool changed stays in its old pool
// until the planner moves it.
func (f *Folder) applyConfig(r record.Record, cfg *decl.Config) {
	old := f.state.Config()
	for _, pool := range old.Pools() {
		p, _ := old.Pool(pool)
		for _, name := range p.VMs() {
			if _, stepped := f.state.vms.get(name); !stepped && cfg.HomePool(name) != pool {
				f.state.vms.set(name, VM{vmWire{Revision: f.state.revision, SinceMs: r.AtMs(), State: VMServing, Pool: pool}})
			}
		}
	}
	f.state.config = cfg
	f.state.fleetRevision = f.state.revision
	f.splitTeamLimits(cfg)
}

// splitTeamLimits adjusts every team's split so that it sums to the team's limit. A change of a limit either only raises
// or only lowers the counts.
func (f *Folder) splitTeamLimits(cfg *decl.Config) {
	for _, name := range cfg.Teams() {
		team, _ := cfg.Team(name)
		current, _ := f.state.allotments.get(name)
		next := current.withLimit(name, cfg.Fleet().DataCentres(), team.Limit())
		if !maps.Equal(next.Split, current.Split) {
			next.Revision = f.state.revision
			f.state.allotments.set(name, next)
		}
	}
	for _, name := range f.state.allotments.keys() {
		if _, ok := cfg.Team(name); !ok {
			f.state.allotments.remove(name)
		}
	}
}

// applyAllotment applies one phase of a hand-over of rights between two data centres. After the intent, the sender no longer
// holds the rights; after the release, the receiver does.
func (f *Folder) applyAllotment(a record.Allotment) Result {
	current, ok := f.state.allotments.get(a.Team())
	if !ok {
		return refuse(codes.ObjectUnknown, "team "+a.Team())
	}
	if a.Base() != current.Revision {
		return refuse(codes.RevisionConflict, "the split of team "+a.Team()+" changed")
	}
	next := allotmentState{Revision: f.state.revision, Split: make(map[string]int, len(current.Split)), Pending: current.Pending, Lost: current.Lost}
	maps.Copy(next.Split, current.Split)
	switch a.Phase() {
	case "intent":
		_, declared := current.Split[a.To()]
		if current.Pending != nil || !declared || a.Count() <= 0 || a.Count() > current.Split[a.From()] || a.From() == a.To() {
			return refuse(codes.RevisionConflict, "no such hand-over is possible")
		}
		next.Pending = &pendingHandover{a.From(), a.To(), a.Count()}
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
	f.state.allotments.set(a.Team(), next)
	return Result{}
}
