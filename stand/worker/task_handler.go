package worker

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/gorilla/mux"

	"mangowing/stand/count"
)

type startTaskWire struct {
	Team    string `json:"team"`
	LeaseMs int64  `json:"lease-ms"`
	Spec    string `json:"spec"`
	Token   uint64 `json:"token"`
}

type tasksWire struct {
	AsOfMs int64      `json:"as-of-ms"`
	Tasks  []taskWire `json:"tasks"`
}

func (s startTaskWire) lease() time.Duration { return time.Duration(s.LeaseMs) * time.Millisecond }

func (h handler) handleStartTask(w http.ResponseWriter, r *http.Request) {
	var body startTaskWire
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&body)
	id, idErr := url.PathUnescape(mux.Vars(r)["id"])
	if err != nil || idErr != nil || body.LeaseMs <= 0 {
		http.Error(w, "expected team, lease-ms above 0, spec and token", http.StatusBadRequest)
		return
	}
	if !h.awaitResume(h.session) {
		panic(http.ErrAbortHandler)
	}
	if status, text := h.startTask(id, body, time.Now()); status != http.StatusOK {
		if status == http.StatusTooManyRequests {
			w.Header().Set(HeaderRefused, refusedSlots)
		}
		http.Error(w, text, status)
		return
	}
	_, _ = io.WriteString(w, "{}")
}

// startTask starts a task or renews its lease; the fencing token must not be lower than the last one.
func (h handler) startTask(id string, body startTaskWire, now time.Time) (status int, text string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.session.abortIfClosed()
	if body.Token < h.session.lastToken {
		return http.StatusConflict, "token is older than one seen before"
	}
	h.session.lastToken = body.Token
	if t := h.session.tasks[id]; t != nil {
		t.advance(now, h.faults.failsEverything)
		return t.renew(now.Add(body.lease()))
	}
	if h.session.usedSlots() >= h.cfg.Slots {
		h.recorder.RecordRefusedSlot()
		return http.StatusTooManyRequests, "no free slot"
	}
	t, spec := newTask(id, body, now)
	t.run = h.recorder.RecordStart(count.Start{VM: h.cfg.Name, Team: t.team, RequestID: "task:" + id, WorkID: spec.WorkID}, now)
	h.session.tasks[id] = t
	return http.StatusOK, ""
}

func (t *task) renew(until time.Time) (status int, text string) {
	if !t.isActive() {
		return http.StatusConflict, "the task ended: " + t.state
	}
	t.leaseEnd = until
	return http.StatusOK, ""
}

func (h handler) handleTaskAction(w http.ResponseWriter, r *http.Request) {
	vars := mux.Vars(r)
	id, err := url.PathUnescape(vars["id"])
	if err != nil {
		http.Error(w, "task id: not escaped well", http.StatusBadRequest)
		return
	}
	if !h.awaitResume(h.session) {
		panic(http.ErrAbortHandler)
	}
	if status, text := h.actOnTask(id, vars["action"], time.Now()); status != http.StatusOK {
		http.Error(w, text, status)
		return
	}
	_, _ = io.WriteString(w, "{}")
}

func (h handler) actOnTask(id, action string, now time.Time) (status int, text string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.session.tasks[id]
	if t == nil {
		return http.StatusNotFound, "no such task"
	}
	t.advance(now, h.faults.failsEverything)
	switch action {
	case "checkpoint":
		t.saveCheckpoint()
	case "throttle":
		if t.isActive() {
			t.state = stateThrottled
		}
	case "stop":
		t.end(now, stateStopped)
	default:
		return http.StatusNotFound, "expected checkpoint, throttle or stop"
	}
	return http.StatusOK, ""
}

func (h handler) handleTasks(w http.ResponseWriter, _ *http.Request) {
	if !h.awaitResume(h.session) {
		panic(http.ErrAbortHandler)
	}
	r := h.currentReport()
	writeJSON(w, tasksWire{r.at.UnixMilli(), r.tasks})
}
