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

// result is the answer to an action, kept to answer repeats of its request id.
type result struct {
	status int
	text   string
}

// Register adds the routes of the VM list and of the VM actions to the router.
func (f *Fleet) Register(router *mux.Router) {
	router.HandleFunc("/vms", f.handleList).Methods(http.MethodGet)
	router.HandleFunc("/vms/{vm}/{action:reboot|reassign|fence}", f.handleAction).Methods(http.MethodPost)
}

func (f *Fleet) handleList(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, _ := strconv.ParseUint(query.Get("since"), 10, 64)
	waitMs, _ := strconv.ParseUint(query.Get("wait-ms"), 10, 32)
	if f.isListUnavailable() {
		panic(http.ErrAbortHandler)
	}
	answer := f.awaitChanges(r, since, min(time.Duration(waitMs)*time.Millisecond, maxWait))
	if f.isListUnavailable() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

func (f *Fleet) awaitChanges(r *http.Request, since uint64, wait time.Duration) listWire {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		version, rows, changed := f.changesSince(since)
		if len(rows) > 0 || f.isListUnavailable() {
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
	answer, lost := f.runAction(vars["vm"], vars["action"], body, time.Now())
	if lost {
		panic(http.ErrAbortHandler)
	}
	if answer.status != http.StatusOK {
		http.Error(w, answer.text, answer.status)
		return
	}
	_, _ = io.WriteString(w, "{}")
}

// runAction runs an action once per request id; a repeat gets the first answer. If isLost is set, the answer must not be
// sent: the action-answers-lost fault drops it after the action took effect.
func (f *Fleet) runAction(name, action string, body actionWire, now time.Time) (answer result, isLost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.vms[name]
	if v == nil {
		return result{http.StatusNotFound, "no such VM"}, false
	}
	answer, repeated := f.results[body.RequestID]
	if !repeated {
		answer = f.runNewAction(v, action, body, now)
		f.results[body.RequestID] = answer
	}
	if v.answersLost > 0 {
		v.answersLost--
		return answer, true
	}
	return answer, false
}

func (f *Fleet) runNewAction(v *vm, action string, body actionWire, now time.Time) result {
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
	if v.isRebooting {
		return result{http.StatusConflict, "the VM is rebooting"}
	}
	v.worker.Close()
	v.isRebooting = true
	generation := v.row.Generation
	time.AfterFunc(f.cfg.RebootTime, func() { f.completeReboot(v, generation) })
	return result{http.StatusOK, ""}
}

func (f *Fleet) completeReboot(v *vm, generation uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if v.isRebooting && !v.staysDown && v.row.Generation == generation {
		f.reopenWorker(v, time.Now())
	}
}

func (f *Fleet) reassign(v *vm, pool string, now time.Time) result {
	if pool == "" {
		return result{http.StatusBadRequest, "pool: missing"}
	}
	v.row.Pool = pool
	f.recorder.SetPool(v.row.Name, pool)
	f.appendChange(v, now)
	return result{http.StatusOK, ""}
}
