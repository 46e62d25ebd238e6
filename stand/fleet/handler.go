package fleet

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
)

const (
	maxActionBytes = 64 << 10
	maxWait        = time.Minute
)

type vmWire struct {
	Name         string `json:"name"`
	Address      string `json:"address"`
	DataCentre   string `json:"data-centre"`
	Rack         string `json:"rack"`
	Generation   uint64 `json:"generation"`
	State        string `json:"state"`
	Cores        int    `json:"cores"`
	MemoryGB     int    `json:"memory-gb"`
	Accelerators int    `json:"accelerators"`
	Slots        int    `json:"slots"`
	Connections  int    `json:"connections"`
	Pool         string `json:"pool"`
}

type listWire struct {
	Version uint64   `json:"version"`
	VMs     []vmWire `json:"vms"`
}

type actionWire struct {
	RequestID  string `json:"request-id"`
	Generation uint64 `json:"generation"`
	Pool       string `json:"pool"`
}

// result is the answer of an action, kept for repeats of its request id.
type result struct {
	status int
	text   string
}

// Register adds the calls of VM list and pools to a router.
func (f *Fleet) Register(router *mux.Router) {
	router.HandleFunc("/vms", f.handleList).Methods(http.MethodGet)
	router.HandleFunc("/vms/{vm}/{action:reboot|reassign|fence}", f.handleAction).Methods(http.MethodPost)
}

func (f *Fleet) handleList(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, _ := strconv.ParseUint(query.Get("since"), 10, 64)
	waitMs, _ := strconv.ParseUint(query.Get("wait-ms"), 10, 32)
	if f.isDown() {
		panic(http.ErrAbortHandler)
	}
	answer := f.await(r, since, min(time.Duration(waitMs)*time.Millisecond, maxWait))
	if f.isDown() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

func (f *Fleet) await(r *http.Request, since uint64, wait time.Duration) listWire {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		version, rows, changed := f.since(since)
		if len(rows) > 0 || f.isDown() {
			return listWire{version, rows}
		}
		select {
		case <-changed:
		case <-deadline.C:
			return listWire{version, rows}
		case <-r.Context().Done():
			return listWire{version, rows}
		}
	}
}

func (f *Fleet) handleAction(w http.ResponseWriter, r *http.Request) {
	var body actionWire
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxActionBytes)).Decode(&body)
	if err != nil || body.RequestID == "" {
		http.Error(w, "expected request-id and generation", http.StatusBadRequest)
		return
	}
	vars := mux.Vars(r)
	answer, lost := f.act(vars["vm"], vars["action"], body, time.Now())
	if lost {
		panic(http.ErrAbortHandler)
	}
	if answer.status != http.StatusOK {
		http.Error(w, answer.text, answer.status)
		return
	}
	_, _ = io.WriteString(w, "{}")
}

// act takes an action once per request id; lost tells that its answer must not reach the other side.
func (f *Fleet) act(name, action string, body actionWire, now time.Time) (answer result, lost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.vms[name]
	if v == nil {
		return result{http.StatusNotFound, "no such VM"}, false
	}
	answer, repeated := f.requests[body.RequestID]
	if !repeated {
		answer = f.actOnce(v, action, body, now)
		f.requests[body.RequestID] = answer
	}
	if v.answersLost > 0 {
		v.answersLost--
		return answer, true
	}
	return answer, false
}

func (f *Fleet) actOnce(v *vm, action string, body actionWire, now time.Time) result {
	if body.Generation != v.row.Generation {
		return result{http.StatusConflict, "the VM's generation is " + strconv.FormatUint(v.row.Generation, 10)}
	}
	switch action {
	case "reboot":
		return f.reboot(v)
	case "reassign":
		return f.reassign(v, body.Pool, now)
	default:
		f.setGone(v, true, now)
		return result{http.StatusOK, ""}
	}
}

func (f *Fleet) reboot(v *vm) result {
	if v.rebooting {
		return result{http.StatusConflict, "the VM is rebooting"}
	}
	v.machine.Close()
	v.rebooting = true
	generation := v.row.Generation
	time.AfterFunc(f.cfg.RebootTime, func() { f.endReboot(v, generation) })
	return result{http.StatusOK, ""}
}

func (f *Fleet) endReboot(v *vm, generation uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if v.rebooting && !v.noReturn && v.row.Generation == generation {
		f.comeBack(v, time.Now())
	}
}

func (f *Fleet) reassign(v *vm, pool string, now time.Time) result {
	if pool == "" {
		return result{http.StatusBadRequest, "pool: missing"}
	}
	v.row.Pool = pool
	f.board.SetPool(v.row.Name, pool)
	f.note(v, now)
	return result{http.StatusOK, ""}
}
