package root

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/gorilla/mux"

	"mangowing/core/codes"
	"mangowing/core/event"
	"mangowing/core/fold"
	"mangowing/core/record"
)

const (
	fakeOperatorKey = "fake-operator-key"
	fakeNowMs       = 1_700_000_000_000
)

// fakeFleet fakes the operators' and callers' API. Its gates share one state; faults are set for each gate.
type fakeFleet struct {
	mu              sync.Mutex
	state           *fold.Folder
	offset          uint64
	servers         []*httptest.Server
	dropReplies     map[int]bool // gates that drop the reply to a write after it took effect
	refuseWith      map[int]codes.Code
	writeBodies     []string // bodies of all writes
	waves           []any
	events          []event.Event
	status          string
	conflictPending bool // another operator changes every object just before the next write
}

func (f *fakeFleet) conflictWithNextChange() { f.conflictPending = true }

func newFakeFleet(t *testing.T, gates int) *fakeFleet {
	f := &fakeFleet{state: fold.NewFolder(), dropReplies: map[int]bool{}, refuseWith: map[int]codes.Code{}}
	for i := range gates {
		server := httptest.NewServer(f.handler(i))
		t.Cleanup(server.Close)
		f.servers = append(f.servers, server)
	}
	return f
}

func (f *fakeFleet) addresses() string {
	var out []string
	for _, s := range f.servers {
		out = append(out, s.Listener.Addr().String())
	}
	return strings.Join(out, ",")
}

func (f *fakeFleet) handler(gate int) http.Handler {
	r := mux.NewRouter()
	get := func(path string, answer func(r *http.Request) any) {
		r.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) { f.reply(w, r, gate, answer) }).Methods(http.MethodGet)
	}
	post := func(path string, body func(r *http.Request, sent []byte) record.Body) {
		r.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) { f.write(w, r, gate, body) }).Methods(http.MethodPost)
	}
	get("/ops/v1/objects", func(*http.Request) any {
		s := f.state.Publish()
		return struct {
			Revision uint64          `json:"revision"`
			Offset   uint64          `json:"offset"`
			Objects  []record.Object `json:"objects"`
		}{s.Revision(), s.Offset(), s.Objects()}
	})
	get("/ops/v1/history", func(*http.Request) any { return fakeHistory(f.state.Publish().History()) })
	get("/ops/v1/keys", func(*http.Request) any { return fakeKeys(f.state.Publish()) })
	get("/ops/v1/status", func(*http.Request) any { return json.RawMessage(f.status) })
	get("/ops/v1/waves", func(*http.Request) any { return f.nextWaves() })
	get("/ops/v1/events", func(*http.Request) any { return map[string]any{"events": f.events} })
	get("/v1/jobs/{job}", func(r *http.Request) any {
		return map[string]any{"job": mux.Vars(r)["job"], "state": "running", "queue": "reprints", "worker": "cz-a-11", "attempt": 1}
	})
	post("/ops/v1/changes", changeBody)
	post("/ops/v1/keys", grantBody)
	post("/ops/v1/keys/withdraw", withdrawBody)
	post("/ops/v1/waves/{wave}/{step}", func(r *http.Request, _ []byte) record.Body {
		state := map[string]string{"start": "running", "resume": "running", "pause": "paused", "cancel": "cancelled"}[mux.Vars(r)["step"]]
		name := mux.Vars(r)["wave"]
		return record.NewWaveStep(name, f.state.Publish().Wave(name).Revision(), state, "", 0)
	})
	r.HandleFunc("/v1/queues/{queue}/jobs", func(w http.ResponseWriter, r *http.Request) {
		f.reply(w, r, gate, func(*http.Request) any { return map[string]string{"job": "JOB7"} })
	})
	return r
}

func (f *fakeFleet) reply(w http.ResponseWriter, r *http.Request, gate int, answer func(*http.Request) any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if code, ok := f.refuseWith[gate]; ok {
		refuse(w, code, "")
		return
	}
	if strings.HasPrefix(r.URL.Path, "/ops/") && r.Header.Get("Authorization") != "Bearer "+fakeOperatorKey {
		refuse(w, codes.OperatorUnknown, "")
		return
	}
	_ = json.NewEncoder(w).Encode(answer(r))
}

func (f *fakeFleet) write(w http.ResponseWriter, r *http.Request, gate int, body func(*http.Request, []byte) record.Body) {
	data, _ := io.ReadAll(r.Body)
	f.reply(w, r, gate, func(r *http.Request) any {
		f.writeBodies = append(f.writeBodies, string(data))
		var head struct {
			ID string `json:"id"`
			By string `json:"by"`
		}
		_ = json.Unmarshal(data, &head)
		f.applyConflictingChange()
		result := f.append(record.NewWithID(head.ID, head.By, fakeNowMs, body(r, data)))
		if f.dropReplies[gate] {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(result.Code().Entry().Status())
		return f.result(head.ID, result)
	})
}

func (f *fakeFleet) append(r record.Record) fold.Result {
	data, err := record.EncodeBatch([]record.Record{r})
	if err != nil {
		panic(err)
	}
	f.offset++
	results, err := f.state.Apply(f.offset, data)
	if err != nil {
		panic(err)
	}
	return results[0]
}

func (f *fakeFleet) applyConflictingChange() {
	if !f.conflictPending {
		return
	}
	f.conflictPending = false
	f.append(record.NewWithID("RACE", "karel", fakeNowMs, record.NewChange(f.state.Publish().Objects(), "new limits")))
}

func (f *fakeFleet) result(id string, v fold.Result) any {
	return map[string]any{
		"id": id, "code": v.Code(), "name": v.Code().Entry().Name(), "outcome": v.Code().Entry().Outcome().String(), "detail": v.Detail(),
		"faults": v.Faults(), "offset": f.offset, "in-force": 8, "gates": 8, "slowest-gate": "cz-c-2", "slowest-ms": 12,
	}
}

func (f *fakeFleet) nextWaves() any {
	row := f.waves[0]
	if len(f.waves) > 1 {
		f.waves = f.waves[1:]
	}
	return map[string]any{"waves": []any{row}}
}

func refuse(w http.ResponseWriter, code codes.Code, detail string) {
	w.WriteHeader(code.Entry().Status())
	_ = json.NewEncoder(w).Encode(map[string]any{"code": code, "name": code.Entry().Name(), "outcome": code.Entry().Outcome().String(), "detail": detail})
}

func changeBody(_ *http.Request, sent []byte) record.Body {
	var w struct {
		Note    string          `json:"note"`
		Objects []record.Object `json:"objects"`
	}
	_ = json.Unmarshal(sent, &w)
	return record.NewChange(w.Objects, w.Note)
}

func grantBody(_ *http.Request, sent []byte) record.Body {
	var w struct{ Hash, Team, Label string }
	_ = json.Unmarshal(sent, &w)
	return record.NewKeyGrant(w.Hash, w.Team, w.Label)
}

func withdrawBody(_ *http.Request, sent []byte) record.Body {
	var w struct{ Hash string }
	_ = json.Unmarshal(sent, &w)
	return record.NewKeyWithdraw(w.Hash)
}

func fakeHistory(entries []fold.HistoryEntry) any {
	rows := []any{}
	for _, e := range entries {
		rows = append(rows, map[string]any{
			"revision": e.Revision(), "id": e.ID(), "by": e.Operator(), "at-ms": e.AtMs(), "note": e.Note(), "objects": e.Objects(), "code": e.Code(),
		})
	}
	return map[string]any{"changes": rows}
}

func fakeKeys(s *fold.State) any {
	rows := []any{}
	for _, hash := range s.KeyHashes() {
		k, _ := s.Key(hash)
		rows = append(rows, map[string]any{"hash": hash, "team": k.Team(), "label": k.Label(), "withdrawn": k.IsWithdrawn()})
	}
	return map[string]any{"keys": rows}
}
