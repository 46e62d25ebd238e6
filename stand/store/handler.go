package store

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
)

const (
	maxEntryBytes = 16 << 20
	maxWait       = time.Minute
	defaultLimit  = 1000
)

type appendAnswer struct {
	Offset uint64 `json:"offset"`
}

type pageAnswer struct {
	Oldest  uint64      `json:"oldest"`
	Next    uint64      `json:"next"`
	Entries []entryWire `json:"entries"`
}

type entryWire struct {
	Offset uint64 `json:"offset"`
	AtMs   int64  `json:"at-ms"`
	Data   string `json:"data"`
}

// Register adds the log's routes to the router.
func (l *Log) Register(router *mux.Router) {
	router.HandleFunc("/log/{stream}/append", l.handleAppend).Methods(http.MethodPost)
	router.HandleFunc("/log/{stream}/read", l.handleRead).Methods(http.MethodGet)
}

// applyFaults aborts the connection if the log is down, and delays the call by the slow fault.
func (l *Log) applyFaults() {
	f := l.currentFaults()
	if f.isDown {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(f.delay)
	if l.currentFaults().isDown {
		panic(http.ErrAbortHandler)
	}
}

func (l *Log) handleAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxEntryBytes))
	if err != nil {
		http.Error(w, "entry too large or cut", http.StatusRequestEntityTooLarge)
		return
	}
	time.Sleep(l.cfg.AppendLatency)
	l.applyFaults()
	offset := l.append(mux.Vars(r)["stream"], string(data), time.Now())
	if l.takeLostAnswer() {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, appendAnswer{offset})
}

func (l *Log) handleRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: expected an offset", http.StatusBadRequest)
		return
	}
	limit := parsePositive(query.Get("max"), defaultLimit)
	wait := min(time.Duration(parsePositive(query.Get("wait-ms"), 0))*time.Millisecond, maxWait)
	l.applyFaults()
	p := l.awaitEntries(r, mux.Vars(r)["stream"], from, limit, wait)
	if l.currentFaults().isDown {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, p.wire())
}

// awaitEntries returns a page as soon as there is an entry, or an empty one if the wait or the request ends or the log goes
// down.
func (l *Log) awaitEntries(r *http.Request, name string, from uint64, limit int, wait time.Duration) page {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		p, changed := l.read(name, from, limit)
		if len(p.entries) > 0 || l.currentFaults().isDown {
			return p
		}
		select {
		case <-changed:
		case <-deadline.C:
			return p
		case <-r.Context().Done():
			return p
		}
	}
}

func (p page) wire() pageAnswer {
	out := pageAnswer{Oldest: p.oldestOffset, Next: p.nextOffset, Entries: make([]entryWire, 0, len(p.entries))}
	for i, e := range p.entries {
		out.Entries = append(out.Entries, entryWire{p.firstOffset + uint64(i), e.at.UnixMilli(), e.data})
	}
	return out
}

func parsePositive(text string, fallback int) int {
	n, err := strconv.Atoi(text)
	if err != nil || n <= 0 {
		return fallback
	}
	return n
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
