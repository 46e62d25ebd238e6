package fold

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"mangowing/core/codes"
	"mangowing/core/decl"
)

type stateWire struct {
	Offset        uint64                    `json:"offset"`
	Revision      uint64                    `json:"seq"`
	Digest        uint64                    `json:"digest"`
	Malformed     uint64                    `json:"malformed"`
	Objects       map[string]storedObject   `json:"objects"`
	Keys          map[string]keyWire        `json:"keys"`
	VMs           map[string]vmWire         `json:"vms"`
	Waves         map[string]waveWire       `json:"waves"`
	ClockMs       int64                     `json:"clock-ms"`
	Claims        claimsWire                `json:"claims"`
	Jobs          map[string]jobWire        `json:"jobs"`
	Allotments    map[string]allotmentState `json:"allotments"`
	Lease         leaseWire                 `json:"lease"`
	FleetRevision uint64                    `json:"fleet-seq"`
	History       []historyWire             `json:"history"`
	Recent        []recentWire              `json:"recent"`
	JobOrder      []string                  `json:"job-order"`
}

type recentWire struct {
	ID   string `json:"id"`
	Code uint16 `json:"code"`
}

// Encode returns the complete state as JSON. Folding on from the restored state gives the same result as folding all
// entries from the start.
func (f *Folder) Encode() (json.RawMessage, error) {
	s := &f.state
	w := stateWire{
		Offset: s.offset, Revision: s.revision, Digest: s.digest, Malformed: s.malformed,
		Objects:    s.objects.toMap(),
		Keys:       mapValues(s.keys.toMap(), func(k Key) keyWire { return k.w }),
		VMs:        mapValues(s.vms.toMap(), func(v VM) vmWire { return v.w }),
		Waves:      mapValues(s.waves.toMap(), func(v Wave) waveWire { return v.w }),
		ClockMs:    s.clockMs,
		Claims:     s.claims.pack(),
		Jobs:       mapValues(s.jobs.toMap(), func(j Job) jobWire { return j.w }),
		Allotments: s.allotments.toMap(),
		Lease:      s.lease.w, FleetRevision: s.fleetRevision,
		JobOrder: f.jobOrder,
	}
	for _, h := range s.history {
		w.History = append(w.History, h.w)
	}
	for _, id := range f.recentIDs {
		w.Recent = append(w.Recent, recentWire{id, uint16(f.recentCodes[id])})
	}
	return json.Marshal(w)
}

func mapValues[V, W any](m map[string]V, convert func(V) W) map[string]W {
	out := make(map[string]W, len(m))
	for key, v := range m {
		out[key] = convert(v)
	}
	return out
}

// Restore returns a folder with the encoded state. It returns an error if the state can't be decoded or its declarations
// do not compile.
func Restore(encoded json.RawMessage) (*Folder, error) {
	var w stateWire
	if err := json.Unmarshal(encoded, &w); err != nil {
		return nil, eris.Wrap(err, "decode state")
	}
	cfg, faults := decl.Compile(declaredObjects(w.Objects))
	if len(faults) > 0 {
		return nil, eris.Errorf("state does not compile: %s", faults[0])
	}
	claims, err := w.Claims.unpack()
	if err != nil {
		return nil, err
	}
	f := NewFolder()
	s := &f.state
	s.offset, s.revision, s.digest, s.malformed = w.Offset, w.Revision, w.Digest, w.Malformed
	s.config = cfg
	s.lease, s.fleetRevision = Lease{w.Lease}, w.FleetRevision
	s.objects.fromMap(w.Objects)
	s.keys.fromMap(mapValues(w.Keys, func(k keyWire) Key { return Key{k} }))
	s.vms.fromMap(mapValues(w.VMs, func(v vmWire) VM { return VM{v} }))
	s.waves.fromMap(mapValues(w.Waves, func(v waveWire) Wave { return Wave{v} }))
	s.clockMs = w.ClockMs
	for _, e := range claims {
		f.addClaim(e)
	}
	s.jobs.fromMap(mapValues(w.Jobs, func(j jobWire) Job { return Job{j} }))
	s.allotments.fromMap(w.Allotments)
	f.jobOrder = w.JobOrder
	for _, h := range w.History {
		s.history = append(s.history, HistoryEntry{h})
	}
	for _, r := range w.Recent {
		f.rememberResult(r.ID, codes.Code(r.Code))
	}
	return f, nil
}
