package record

import "encoding/json"

const (
	kindChange      = "change"
	kindKeyGrant    = "key-grant"
	kindKeyWithdraw = "key-withdraw"
	kindLease       = "lease"
	kindVMStep      = "vm-step"
	kindClaim       = "claim"
	kindWaveStep    = "wave-step"
	kindJobStep     = "job-step"
	kindAllotment   = "allotment"
	kindSnapshot    = "snapshot"
)

func decodeBody(kind string, raw json.RawMessage) (Body, error) {
	switch kind {
	case kindChange:
		return decodeInto(raw, func(w changeWire) Body { return Change{w} })
	case kindKeyGrant:
		return decodeInto(raw, func(w keyGrantWire) Body { return KeyGrant{w} })
	case kindKeyWithdraw:
		return decodeInto(raw, func(w keyWithdrawWire) Body { return KeyWithdraw{w} })
	case kindLease:
		return decodeInto(raw, func(w leaseWire) Body { return Lease{w} })
	case kindVMStep:
		return decodeInto(raw, func(w vmStepWire) Body { return VMStep{w} })
	case kindClaim:
		return decodeInto(raw, func(w claimWire) Body { return Claim{w} })
	case kindWaveStep:
		return decodeInto(raw, func(w waveStepWire) Body { return WaveStep{w} })
	case kindJobStep:
		return decodeInto(raw, func(w jobStepWire) Body { return JobStep{w} })
	case kindAllotment:
		return decodeInto(raw, func(w allotmentWire) Body { return Allotment{w} })
	case kindSnapshot:
		return decodeInto(raw, func(w snapshotWire) Body { return Snapshot{w} })
	default:
		return nil, ErrMalformed
	}
}

func decodeInto[W any](raw json.RawMessage, build func(W) Body) (Body, error) {
	var w W
	if err := json.Unmarshal(raw, &w); err != nil {
		return nil, ErrMalformed
	}
	return build(w), nil
}

// KeyGrant permits callers that present the key with the given hash to work for a team.
type KeyGrant struct {
	w keyGrantWire
}

type keyGrantWire struct {
	Hash  string `json:"hash"`
	Team  string `json:"team"`
	Label string `json:"label,omitempty"`
}

// NewKeyGrant returns a grant of the key with the given hex SHA-256 hash to a team.
func NewKeyGrant(hash, team, label string) KeyGrant {
	return KeyGrant{keyGrantWire{hash, team, label}}
}

// Hash returns the key's hex SHA-256 hash.
func (k KeyGrant) Hash() string { return k.w.Hash }

// Team returns the team for which the key is valid.
func (k KeyGrant) Team() string { return k.w.Team }

// Label returns the operator's label.
func (k KeyGrant) Label() string { return k.w.Label }

func (k KeyGrant) kind() string { return kindKeyGrant }
func (k KeyGrant) wire() any    { return k.w }

// KeyWithdraw withdraws a key permanently.
type KeyWithdraw struct {
	w keyWithdrawWire
}

type keyWithdrawWire struct {
	Hash string `json:"hash"`
}

// NewKeyWithdraw returns a withdrawal of the key with the given hex SHA-256 hash.
func NewKeyWithdraw(hash string) KeyWithdraw { return KeyWithdraw{keyWithdrawWire{hash}} }

// Hash returns the key's hex SHA-256 hash.
func (k KeyWithdraw) Hash() string { return k.w.Hash }

func (k KeyWithdraw) kind() string { return kindKeyWithdraw }
func (k KeyWithdraw) wire() any    { return k.w }

// Lease claims or renews the planner's lease for a gate incarnation.
type Lease struct {
	w leaseWire
}

type leaseWire struct {
	Holder string `json:"holder"`
	Base   uint64 `json:"base"`
	TTLMs  int64  `json:"ttl-ms"`
}

// NewLease returns a claim on the lease that replaces the one of revision base and lasts ttlMs milliseconds.
func NewLease(holder string, base uint64, ttlMs int64) Lease {
	return Lease{leaseWire{holder, base, ttlMs}}
}

// Holder returns the incarnation that claims the lease.
func (l Lease) Holder() string { return l.w.Holder }

// Base returns the revision of the lease that this one replaces.
func (l Lease) Base() uint64 { return l.w.Base }

// TTLMs returns how long the lease lasts in milliseconds.
func (l Lease) TTLMs() int64 { return l.w.TTLMs }

func (l Lease) kind() string { return kindLease }
func (l Lease) wire() any    { return l.w }

// VMStep moves one VM to its next state; it is accepted only if its base is the VM's current revision.
type VMStep struct {
	w vmStepWire
}

type vmStepWire struct {
	VM         string `json:"vm"`
	Base       uint64 `json:"base"`
	Generation uint64 `json:"generation"`
	State      string `json:"state"`
	Pool       string `json:"pool"`
	Target     string `json:"target,omitempty"`
	Wave       string `json:"wave,omitempty"`
	Token      uint64 `json:"token"`
}

// VMStepSpec names the fields of a VMStep for NewVMStep.
type VMStepSpec struct {
	VM         string // the VM's name
	Base       uint64 // the revision of the VM's state that the step replaces, 0 for none
	Generation uint64 // the VM's generation, raised by each reboot or replacement
	State      string // the new state
	Pool       string // the pool to which the VM belongs in the new state
	Target     string // the destination pool of a move, empty for none
	Wave       string // the wave that causes the step, empty for none
	Token      uint64 // the fencing token of the planner's lease, 0 for an operator's step
}

// NewVMStep returns the step described by the specification.
func NewVMStep(s VMStepSpec) VMStep {
	return VMStep{vmStepWire(s)}
}

// Spec returns all fields of the step.
func (v VMStep) Spec() VMStepSpec { return VMStepSpec(v.w) }

func (v VMStep) kind() string { return kindVMStep }
func (v VMStep) wire() any    { return v.w }

// Claim claims the sole right to start the request with a caller's idempotency key for one gate incarnation; only the first
// claim on a key is accepted.
type Claim struct {
	w claimWire
}

type claimWire struct {
	Team   string `json:"team"`
	Key    string `json:"key"`
	Digest string `json:"digest"`
	Holder string `json:"holder"`
}

// NewClaim returns a claim by a gate incarnation on a team's idempotency key for a request body with the given digest.
func NewClaim(team, key, digest, holder string) Claim {
	return Claim{claimWire{team, key, digest, holder}}
}

// Team returns the team of the request.
func (c Claim) Team() string { return c.w.Team }

// Key returns the caller's idempotency key.
func (c Claim) Key() string { return c.w.Key }

// Digest returns the digest of queue and body, which detects a different request with the same key.
func (c Claim) Digest() string { return c.w.Digest }

// Holder returns the incarnation that may start the request.
func (c Claim) Holder() string { return c.w.Holder }

func (c Claim) kind() string { return kindClaim }
func (c Claim) wire() any    { return c.w }

// WaveStep starts, pauses, resumes, cancels or completes a maintenance wave.
type WaveStep struct {
	w waveStepWire
}

type waveStepWire struct {
	Wave   string `json:"wave"`
	Base   uint64 `json:"base"`
	State  string `json:"state"`
	Reason string `json:"reason,omitempty"`
	Token  uint64 `json:"token"`
}

// NewWaveStep returns a step of a wave to a new state; base is the wave's current revision, token is 0 for an operator's step.
func NewWaveStep(wave string, base uint64, state, reason string, token uint64) WaveStep {
	return WaveStep{waveStepWire{wave, base, state, reason, token}}
}

// Wave returns the wave's name.
func (s WaveStep) Wave() string { return s.w.Wave }

// Base returns the wave's revision that the step replaces.
func (s WaveStep) Base() uint64 { return s.w.Base }

// State returns the new state: planned, running, paused, cancelled or done.
func (s WaveStep) State() string { return s.w.State }

// Reason returns why the step was taken.
func (s WaveStep) Reason() string { return s.w.Reason }

// Token returns the planner's fencing token, 0 for an operator's step.
func (s WaveStep) Token() uint64 { return s.w.Token }

func (s WaveStep) kind() string { return kindWaveStep }
func (s WaveStep) wire() any    { return s.w }

// JobStep moves one job to its next state.
type JobStep struct {
	w jobStepWire
}

type jobStepWire struct {
	Job     string `json:"job"`
	Base    uint64 `json:"base"`
	State   string `json:"state"`
	Team    string `json:"team"`
	Queue   string `json:"queue"`
	Worker  string `json:"worker,omitempty"`
	Attempt int    `json:"attempt"`
	Spec    string `json:"spec,omitempty"`
	Token   uint64 `json:"token"`
}

// JobStepSpec names the fields of a JobStep for NewJobStep.
type JobStepSpec struct {
	Job     string // the job's id
	Base    uint64 // the revision of the job that the step replaces, 0 for a new job
	State   string // the new state
	Team    string // the team to which the job belongs
	Queue   string // the queue to which the job was submitted
	Worker  string // the worker that holds the job's lease, empty for none
	Attempt int    // the number of starts so far
	Spec    string // the instructions for the worker, in the job's first record only
	Token   uint64 // the planner's fencing token, 0 for a caller's step
}

// MarshalJSON returns the wire form of the fields.
func (s JobStepSpec) MarshalJSON() ([]byte, error) { return json.Marshal(jobStepWire(s)) }

// UnmarshalJSON reads the wire form of the fields.
func (s *JobStepSpec) UnmarshalJSON(b []byte) error {
	var w jobStepWire
	if err := json.Unmarshal(b, &w); err != nil {
		return err
	}
	*s = JobStepSpec(w)
	return nil
}

// NewJobStep returns the step described by the specification.
func NewJobStep(s JobStepSpec) JobStep { return JobStep{jobStepWire(s)} }

// Spec returns all fields of the step.
func (j JobStep) Spec() JobStepSpec { return JobStepSpec(j.w) }

func (j JobStep) kind() string { return kindJobStep }
func (j JobStep) wire() any    { return j.w }

// Allotment changes how a team's limit is split among data centres.
type Allotment struct {
	w allotmentWire
}

type allotmentWire struct {
	Team  string `json:"team"`
	Base  uint64 `json:"base"`
	Phase string `json:"phase"`
	From  string `json:"from"`
	To    string `json:"to"`
	Count int    `json:"count"`
}

// NewAllotment returns a hand-over of count rights of a team's limit between data centres. Phase "intent" announces it and
// "release" completes it.
func NewAllotment(team string, base uint64, phase, from, to string, count int) Allotment {
	return Allotment{allotmentWire{team, base, phase, from, to, count}}
}

// Team returns the team whose limit is split.
func (a Allotment) Team() string { return a.w.Team }

// Base returns the revision of the split that this record replaces.
func (a Allotment) Base() uint64 { return a.w.Base }

// Phase returns "intent" or "release".
func (a Allotment) Phase() string { return a.w.Phase }

// From returns the data centre that gives up rights.
func (a Allotment) From() string { return a.w.From }

// To returns the data centre that receives rights.
func (a Allotment) To() string { return a.w.To }

// Count returns the number of rights handed over.
func (a Allotment) Count() int { return a.w.Count }

func (a Allotment) kind() string { return kindAllotment }
func (a Allotment) wire() any    { return a.w }

// Snapshot is the state that results from all entries up to and including an offset.
type Snapshot struct {
	w snapshotWire
}

type snapshotWire struct {
	Covered uint64          `json:"covered"`
	State   json.RawMessage `json:"state"`
}

// NewSnapshot returns a snapshot of the encoded state that covers all entries up to and including the offset.
func NewSnapshot(covered uint64, state json.RawMessage) Snapshot {
	return Snapshot{snapshotWire{covered, state}}
}

// Covered returns the last offset that the snapshot covers.
func (s Snapshot) Covered() uint64 { return s.w.Covered }

// State returns the encoded state.
func (s Snapshot) State() json.RawMessage { return s.w.State }

func (s Snapshot) kind() string { return kindSnapshot }
func (s Snapshot) wire() any    { return s.w }
