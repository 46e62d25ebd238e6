package fold

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"mangowing/core/codes"
	"mangowing/core/decl"
)

type stateWire struct {
	Offset    uint64                  `json:"offset"`
	Seq       uint64                  `json:"seq"`
	Digest    uint64                  `json:"digest"`
	Malformed uint64                  `json:"malformed"`
	Objects   map[string]storedObject `json:"objects"`
	Keys      map[string]keyWire      `json:"keys"`
	VMs       map[string]vmWire       `json:"vms"`
	Waves     map[string]waveWire     `json:"waves"`
	ClockMs   int64                   `json:"clock-ms"`
	Claims    claimsWire              `json:"claims"`
	Jobs      map[string]jobWire      `json:"jobs"`
	Allots    map[string]allotState   `json:"allotments"`
	Lease     leaseWire               `json:"lease"`
	FleetSeq  uint64                  `json:"fleet-seq"`
	History   []historyWire           `json:"history"`
	Recent    []recentWire            `json:"recent"`
	JobRing   []string                `json:"job-order"`
}

type recentWire struct {
	ID   string `json:"id"`
	Code uint16 `json:"code"`
}

// Encode returns the whole state as JSON; folding on from it gives the same as folding from the start.
func (f *Folder) Encode() (json.RawMessage, error) {
	s := &f.state
	w := stateWire{
		Offset: s.offset, Seq: s.seq, Digest: s.digest, Malformed: s.malformed,
		Objects: s.objects.toMap(),
		Keys:    unwrap(s.keys.toMap(), func(k Key) keyWire { return k.w }),
		VMs:     unwrap(s.vms.toMap(), func(v VM) vmWire { return v.w }),
		Waves:   unwrap(s.waves.toMap(), func(v Wave) waveWire { return v.w }),
		ClockMs: s.clockMs,
		Claims:  s.claims.pack(),
		Jobs:    unwrap(s.jobs.toMap(), func(j Job) jobWire { return j.w }),
		Allots:  s.allots.toMap(),
		Lease:   s.lease.w, FleetSeq: s.fleetSeq,
		JobRing: f.jobRing,
	}
	for _, h := range s.history {
		w.History = append(w.History, h.w)
	}
	for _, id := range f.recentRing {
		w.Recent = append(w.Recent, recentWire{id, uint16(f.recent[id])})
	}
	return json.Marshal(w)
}

func unwrap[V, W any](m map[string]V, take func(V) W) map[string]W {
	out := make(map[string]W, len(m))
	for key, v := range m {
		out[key] = take(v)
	}
	return out
}

// Restore returns a folder at an encoded state, an error for one that does not compile.
func Restore(encoded json.RawMessage) (*Folder, error) {
	var w stateWire
	if err := json.Unmarshal(encoded, &w); err != nil {
		return nil, eris.Wrap(err, "decode state")
	}
	cfg, faults := decl.Compile(liveObjects(w.Objects))
	if len(faults) > 0 {
		return nil, eris.Errorf("state does not compile: %s", faults[0])
	}
	claims, err := w.Claims.unpack()
	if err != nil {
		return nil, err
	}
	f := NewFolder()
	s := &f.state
	s.offset, s.seq, s.digest, s.malformed = w.Offset, w.Seq, w.Digest, w.Malformed
	s.config = cfg
	s.lease, s.fleetSeq = Lease{w.Lease}, w.FleetSeq
	s.objects.fromMap(w.Objects)
	s.keys.fromMap(unwrap(w.Keys, func(k keyWire) Key { return Key{k} }))
	s.vms.fromMap(unwrap(w.VMs, func(v vmWire) VM { return VM{v} }))
	s.waves.fromMap(unwrap(w.Waves, func(v waveWire) Wave { return Wave{v} }))
	s.clockMs = w.ClockMs
	for _, e := range claims {
		f.addClaim(e)
	}
	s.jobs.fromMap(unwrap(w.Jobs, func(j jobWire) Job { return Job{j} }))
	s.allots.fromMap(w.Allots)
	f.jobRing = w.JobRing
	for _, h := range w.History {
		s.history = append(s.history, HistoryEntry{h})
	}
	for _, r := range w.Recent {
		f.remember(r.ID, codes.Code(r.Code))
	}
	return f, nil
}
