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
	if !h.awaitResume(h.life) {
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

// startTask starts a task or renews its lease; a lower token than one seen before is refused.
func (h handler) startTask(id string, body startTaskWire, now time.Time) (status int, text string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.life.abortIfDead()
	if body.Token < h.life.token {
		return http.StatusConflict, "token is older than one seen before"
	}
	h.life.token = body.Token
	if t := h.life.tasks[id]; t != nil {
		t.advance(now, h.faults.failsEverything)
		return t.renew(now.Add(body.lease()))
	}
	if h.life.inUse() >= h.cfg.Slots {
		h.board.RecordRefusedSlot()
		return http.StatusTooManyRequests, "no free slot"
	}
	t, spec := newTask(id, body, now)
	t.run = h.board.RecordStart(count.Start{VM: h.cfg.Name, Team: t.team, RequestID: "task:" + id, WorkID: spec.WorkID}, now)
	h.life.tasks[id] = t
	return http.StatusOK, ""
}

func (t *task) renew(until time.Time) (status int, text string) {
	if !t.active() {
		return http.StatusConflict, "the task ended: " + t.state
	}
	t.lease = until
	return http.StatusOK, ""
}

func (h handler) handleTaskAction(w http.ResponseWriter, r *http.Request) {
	vars := mux.Vars(r)
	id, err := url.PathUnescape(vars["id"])
	if err != nil {
		http.Error(w, "task id: not escaped well", http.StatusBadRequest)
		return
	}
	if !h.awaitResume(h.life) {
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
	t := h.life.tasks[id]
	if t == nil {
		return http.StatusNotFound, "no such task"
	}
	t.advance(now, h.faults.failsEverything)
	switch action {
	case "checkpoint":
		t.saveCheckpoint()
	case "throttle":
		if t.active() {
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
	if !h.awaitResume(h.life) {
		panic(http.ErrAbortHandler)
	}
	r := h.reported()
	writeJSON(w, tasksWire{r.at.UnixMilli(), r.tasks})
}
