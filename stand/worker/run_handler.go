package worker

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"mangowing/stand/count"
)

// Headers of a request to a worker; the Stand ones say how the request behaves.
const (
	HeaderRequestID   = "Mango-Request-Id"
	HeaderTeam        = "Mango-Team"
	HeaderQueue       = "Mango-Queue"
	HeaderGate        = "Mango-Gate"
	HeaderRefused     = "Mango-Refused"
	HeaderRunMs       = "Stand-Run-Ms"
	HeaderAnswerBytes = "Stand-Answer-Bytes"
	HeaderWorkID      = "Stand-Work-Id"
)

const (
	maxBodyBytes   = 64 << 20
	maxAnswerBytes = 64 << 20
	otherRequestID = "another-request"

	refusedSlots       = "slots"
	refusedConnections = "connections"
)

type handler struct {
	*Worker
	life *life
}

type runningWire struct {
	AsOfMs  int64                `json:"as-of-ms"`
	Slots   int                  `json:"slots"`
	Running []runningRequestWire `json:"running"`
}

type runningRequestWire struct {
	RequestID string `json:"request-id"`
	Team      string `json:"team"`
	Gate      string `json:"gate"`
}

type outcomeWire struct {
	Outcome string `json:"outcome"`
}

// AnswerBody returns a worker's answer to a request: the work id, a line feed and padding up to size bytes.
func AnswerBody(workID string, size int) []byte {
	head := workID + "\n"
	size = min(max(size, len(head)), maxAnswerBytes)
	return append([]byte(head), bytes.Repeat([]byte{'.'}, size-len(head))...)
}

func (h handler) handleRun(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBodyBytes)); err != nil {
		http.Error(w, "body too large or cut", http.StatusBadRequest)
		return
	}
	if r.Header.Get(HeaderRequestID) == "" {
		http.Error(w, HeaderRequestID+": missing", http.StatusBadRequest)
		return
	}
	if !h.awaitResume(h.life) {
		panic(http.ErrAbortHandler)
	}
	job, refused := h.start(r.Header)
	if refused != "" {
		w.Header().Set(HeaderRefused, refused)
		w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
		if refused == refusedConnections {
			w.Header().Set("Connection", "close")
		}
		http.Error(w, "refused: "+refused, http.StatusTooManyRequests)
		return
	}
	h.awaitEnd(r, job)
	h.answer(w, r)
}

// start takes a slot and begins the work, which goes on whatever becomes of the connection.
func (h handler) start(header http.Header) (job *work, refused string) {
	if int(h.life.open.Load()) > h.cfg.Connections {
		h.board.RecordRefusedConnection()
		return nil, refusedConnections
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.life.abortIfDead()
	if h.life.inUse() >= h.cfg.Slots {
		h.board.RecordRefusedSlot()
		return nil, refusedSlots
	}
	now := time.Now()
	job = &work{
		requestID: header.Get(HeaderRequestID),
		team:      header.Get(HeaderTeam),
		gate:      header.Get(HeaderGate),
		done:      make(chan struct{}),
	}
	job.run = h.board.RecordStart(count.Start{
		VM:        h.cfg.Name,
		Team:      job.team,
		Queue:     header.Get(HeaderQueue),
		RequestID: job.requestID,
		WorkID:    header.Get(HeaderWorkID),
	}, now)
	h.life.running[job] = true
	runFor := time.Duration(number(header.Get(HeaderRunMs))) * time.Millisecond
	if runFor > 0 {
		time.AfterFunc(runFor, func() { h.finish(job) })
		return job, ""
	}
	h.finishLocked(job, now)
	return job, ""
}

func (h handler) finish(job *work) {
	if !h.awaitResume(h.life) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.finishLocked(job, time.Now())
}

func (h handler) finishLocked(job *work, now time.Time) {
	l := h.life
	if !l.running[job] {
		return
	}
	delete(l.running, job)
	job.run.End(now, false)
	close(job.done)
	if !l.outcomes[job.requestID] {
		l.outcomes[job.requestID] = true
		l.order = append(l.order, job.requestID)
	}
	if len(l.order) > maxOutcomesKept {
		delete(l.outcomes, l.order[0])
		l.order = l.order[1:]
	}
}

// awaitEnd returns when the work has finished, and aborts the connection if the work was cut or the other side left.
func (h handler) awaitEnd(r *http.Request, job *work) {
	select {
	case <-job.done:
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
	if job.cut || !h.awaitResume(h.life) {
		panic(http.ErrAbortHandler)
	}
}

func (h handler) answer(w http.ResponseWriter, r *http.Request) {
	f := h.currentFaults()
	select {
	case <-time.After(f.late):
	case <-h.life.dead:
		panic(http.ErrAbortHandler)
	}
	requestID := r.Header.Get(HeaderRequestID)
	body := AnswerBody(r.Header.Get(HeaderWorkID), number(r.Header.Get(HeaderAnswerBytes)))
	if f.crossed {
		requestID, body = h.otherID(requestID), AnswerBody(otherRequestID, len(body))
	}
	h.noteLast(requestID)
	w.Header().Set(HeaderRequestID, requestID)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if f.failsEverything {
		w.WriteHeader(http.StatusInternalServerError)
	}
	if f.short {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// otherID returns the id of another request that this worker answered before, if there was one.
func (h handler) otherID(requestID string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.life.lastID == "" || h.life.lastID == requestID {
		return otherRequestID
	}
	return h.life.lastID
}

func (h handler) noteLast(requestID string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.life.lastID = requestID
}

func (h handler) handleRunning(w http.ResponseWriter, _ *http.Request) {
	if !h.awaitResume(h.life) {
		panic(http.ErrAbortHandler)
	}
	r := h.reported()
	writeJSON(w, runningWire{r.at.UnixMilli(), h.cfg.Slots, r.running})
}

// reported returns the lagging report, or a fresh one if there was none yet.
func (h handler) reported() report {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.life.report.at.IsZero() {
		h.life.report = h.life.newReport(time.Now())
	}
	return h.life.report
}

func (h handler) handleOutcome(w http.ResponseWriter, r *http.Request) {
	if !h.awaitResume(h.life) {
		panic(http.ErrAbortHandler)
	}
	id, err := url.PathUnescape(mux.Vars(r)["id"])
	if err != nil {
		http.Error(w, "request id: not escaped well", http.StatusBadRequest)
		return
	}
	writeJSON(w, outcomeWire{h.outcome(id)})
}

func (h handler) outcome(id string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	for job := range h.life.running {
		if job.requestID == id {
			return "running"
		}
	}
	if h.life.outcomes[id] {
		return "ran"
	}
	return "not-seen"
}

func number(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		return 0
	}
	return n
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
