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

// Headers of a request to a worker; those that start with Stand control the simulated work.
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
	maxBodyBytes      = 64 << 20
	maxAnswerBytes    = 64 << 20
	fallbackRequestID = "another-request"

	refusedSlots       = "slots"
	refusedConnections = "connections"
)

type handler struct {
	*Worker
	session *session
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
	if !h.awaitResume(h.session) {
		panic(http.ErrAbortHandler)
	}
	req, refused := h.startRequest(r.Header)
	if refused != "" {
		w.Header().Set(HeaderRefused, refused)
		w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
		if refused == refusedConnections {
			w.Header().Set("Connection", "close")
		}
		http.Error(w, "refused: "+refused, http.StatusTooManyRequests)
		return
	}
	h.awaitFinish(r, req)
	h.writeAnswer(w, r)
}

// startRequest takes a slot and starts the work, which continues even if the connection closes. If there is no slot or
// connection left, it returns the limit that refused the request.
func (h handler) startRequest(header http.Header) (req *runningRequest, refused string) {
	if int(h.session.connections.Load()) > h.cfg.Connections {
		h.recorder.RecordRefusedConnection()
		return nil, refusedConnections
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.session.abortIfClosed()
	if h.session.usedSlots() >= h.cfg.Slots {
		h.recorder.RecordRefusedSlot()
		return nil, refusedSlots
	}
	now := time.Now()
	req = &runningRequest{
		requestID: header.Get(HeaderRequestID),
		team:      header.Get(HeaderTeam),
		gate:      header.Get(HeaderGate),
		done:      make(chan struct{}),
	}
	req.run = h.recorder.RecordStart(count.Start{
		VM:        h.cfg.Name,
		Team:      req.team,
		Queue:     header.Get(HeaderQueue),
		RequestID: req.requestID,
		WorkID:    header.Get(HeaderWorkID),
	}, now)
	h.session.running[req] = true
	runFor := time.Duration(parseNumber(header.Get(HeaderRunMs))) * time.Millisecond
	if runFor > 0 {
		time.AfterFunc(runFor, func() { h.finishRequest(req) })
		return req, ""
	}
	h.finishLocked(req, now)
	return req, ""
}

func (h handler) finishRequest(req *runningRequest) {
	if !h.awaitResume(h.session) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.finishLocked(req, time.Now())
}

func (h handler) finishLocked(req *runningRequest, now time.Time) {
	s := h.session
	if !s.running[req] {
		return
	}
	delete(s.running, req)
	req.run.End(now, false)
	close(req.done)
	if !s.outcomes[req.requestID] {
		s.outcomes[req.requestID] = true
		s.outcomeOrder = append(s.outcomeOrder, req.requestID)
	}
	if len(s.outcomeOrder) > maxKeptOutcomes {
		delete(s.outcomes, s.outcomeOrder[0])
		s.outcomeOrder = s.outcomeOrder[1:]
	}
}

// awaitFinish returns when the work has finished. It aborts the connection if the worker closed or the client disconnected.
func (h handler) awaitFinish(r *http.Request, req *runningRequest) {
	select {
	case <-req.done:
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
	if req.isInterrupted || !h.awaitResume(h.session) {
		panic(http.ErrAbortHandler)
	}
}

func (h handler) writeAnswer(w http.ResponseWriter, r *http.Request) {
	f := h.currentFaults()
	select {
	case <-time.After(f.answerDelay):
	case <-h.session.closed:
		panic(http.ErrAbortHandler)
	}
	requestID := r.Header.Get(HeaderRequestID)
	body := AnswerBody(r.Header.Get(HeaderWorkID), parseNumber(r.Header.Get(HeaderAnswerBytes)))
	if f.swapsAnswers {
		requestID, body = h.otherRequestID(requestID), AnswerBody(fallbackRequestID, len(body))
	}
	h.recordAnswered(requestID)
	w.Header().Set(HeaderRequestID, requestID)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if f.failsEverything {
		w.WriteHeader(http.StatusInternalServerError)
	}
	if f.truncatesAnswers {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// otherRequestID returns the id of the request answered last, or a fixed one if there is none or it is the same.
func (h handler) otherRequestID(requestID string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.session.lastRequestID == "" || h.session.lastRequestID == requestID {
		return fallbackRequestID
	}
	return h.session.lastRequestID
}

func (h handler) recordAnswered(requestID string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.session.lastRequestID = requestID
}

func (h handler) handleRunning(w http.ResponseWriter, _ *http.Request) {
	if !h.awaitResume(h.session) {
		panic(http.ErrAbortHandler)
	}
	r := h.currentReport()
	writeJSON(w, runningWire{r.at.UnixMilli(), h.cfg.Slots, r.running})
}

// currentReport returns the latest usage report, which may lag by UsageLag, and creates the first one.
func (h handler) currentReport() report {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.session.report.at.IsZero() {
		h.session.report = h.session.newReport(time.Now())
	}
	return h.session.report
}

func (h handler) handleOutcome(w http.ResponseWriter, r *http.Request) {
	if !h.awaitResume(h.session) {
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
	for req := range h.session.running {
		if req.requestID == id {
			return "running"
		}
	}
	if h.session.outcomes[id] {
		return "ran"
	}
	return "not-seen"
}

func parseNumber(text string) int {
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
