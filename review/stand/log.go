package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// logServer is a stand-in for the platform's log, by PROTOCOL.md, "The platform's metadata store". Each answer takes 4 ms.
type logServer struct {
	mu          sync.Mutex
	topics      map[string]*topic
	recordBytes int // largest record that an append may hold
	rejected    int // appends rejected for a record that is too large
	slowness    int // each answer and each append takes this many times as long; 0 counts as 1
	full        int // appends answered with 503, since more than 2 s was waiting
}

const (
	logAnswerTime  = 4 * time.Millisecond
	logAppendTime  = time.Millisecond // append_ms
	longestQueue   = 2 * time.Second
	recordBytes    = 262144  // record_bytes of DEPLOY.md
	requestBytes   = 2097152 // request_bytes of DEPLOY.md
	answersKept    = 5
	newestPageSize = 500
)

type topic struct {
	records   [][]byte
	start     int64
	newest    map[string]int64
	producers map[string]*producer
	changed   chan struct{}
	busyUntil time.Time // the partition processes its appends one at a time
}

type producer struct {
	epoch, next int64
	answers     []appendAnswer
}

type appendAnswer struct {
	Offset    int64  `json:"offset"`
	EndOffset int64  `json:"end_offset"`
	Reason    string `json:"reason,omitempty"`
	Sequence  int64  `json:"sequence,omitempty"`
}

func newLogServer() *logServer {
	return &logServer{topics: map[string]*topic{}, recordBytes: recordBytes}
}

func (l *logServer) topic(name string) *topic {
	t := l.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int64{}, producers: map[string]*producer{}, changed: make(chan struct{})}
		l.topics[name] = t
	}
	return t
}

func (t *topic) end() int64 { return t.start + int64(len(t.records)) }

func splitKey(record []byte) (key string, value []byte, ok bool) {
	if len(record) == 0 || len(record) < 1+int(record[0]) {
		return "", nil, false
	}
	n := 1 + int(record[0])
	return string(record[1:n]), record[n:], true
}

func (t *topic) add(records [][]byte, keyed bool) int64 {
	offset := t.end()
	for i, r := range records {
		if key, value, ok := splitKey(r); keyed && ok {
			t.newest[key] = offset + int64(i)
			if len(value) == 0 {
				delete(t.newest, key)
			}
		}
	}
	t.records = append(t.records, records...)
	close(t.changed)
	t.changed = make(chan struct{})
	return offset
}

// put writes a key's newest value, as the operator and the workers do.
func (l *logServer) put(name, key string, value []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	record := append([]byte{byte(len(key))}, key...)
	l.topic("keyed."+name).add([][]byte{append(record, value...)}, true)
}

func (l *logServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch r.URL.Path {
	case "/v1/log-append":
		l.serveAppend(w, r, body)
	case "/v1/log-read":
		l.serveRead(w, r)
	case "/v1/log-newest":
		l.serveNewest(w, r)
	case "/v1/log-trim":
		l.serveTrim(w, body)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	raw, _ := json.Marshal(value)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

func number(r *http.Request, name string) (int64, bool) {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return n, err == nil
}

func (l *logServer) serveAppend(w http.ResponseWriter, r *http.Request, body []byte) {
	var records [][]byte
	tooLarge := len(body) > requestBytes
	for rest := body; len(rest) >= 4; {
		size := int(binary.BigEndian.Uint32(rest))
		if size > len(rest)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		tooLarge = tooLarge || size > l.recordBytes
		records = append(records, append([]byte(nil), rest[4:4+size]...))
		rest = rest[4+size:]
	}
	if tooLarge {
		// "Each record consists of a length (4 bytes, big-endian) and at most record_bytes."
		l.mu.Lock()
		l.rejected++
		l.mu.Unlock()
		l.answerTime()
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, ok := l.queueAppend(r.URL.Query().Get("topic"))
	if !ok {
		l.answerTime()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(wait)
	status, answer := l.doAppend(r, records) // also if the caller has given up meanwhile
	l.answerTime()
	writeJSON(w, status, answer)
}

// queueAppend returns how long an append to the topic waits and takes, and false if more than 2 s is waiting.
func (l *logServer) queueAppend(name string) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, now := l.topic(name), time.Now()
	if t.busyUntil.Sub(now) > longestQueue {
		l.full++
		return 0, false
	}
	if t.busyUntil.Before(now) {
		t.busyUntil = now
	}
	t.busyUntil = t.busyUntil.Add(logAppendTime * time.Duration(max(1, l.slowness)))
	return t.busyUntil.Sub(now), true
}

// answerTime sleeps as long as an answer takes.
func (l *logServer) answerTime() {
	l.mu.Lock()
	slowness := max(1, l.slowness)
	l.mu.Unlock()
	time.Sleep(logAnswerTime * time.Duration(slowness))
}

func (l *logServer) setSlowness(x int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slowness = x
}

func (l *logServer) doAppend(r *http.Request, records [][]byte) (int, appendAnswer) {
	name := r.URL.Query().Get("topic")
	l.mu.Lock()
	defer l.mu.Unlock()
	if name == "keyed.op" || name == "keyed.servers" {
		return http.StatusForbidden, appendAnswer{}
	}
	t := l.topic(name)
	if want, conditional := number(r, "timestamp"); conditional && want != t.end() {
		return http.StatusPreconditionFailed, appendAnswer{EndOffset: t.end()}
	}
	id := r.URL.Query().Get("producer")
	if id == "" {
		offset := t.add(records, strings.HasPrefix(name, "keyed."))
		return http.StatusOK, appendAnswer{Offset: offset, EndOffset: t.end()}
	}
	p := t.producers[id]
	if p == nil {
		p = &producer{}
		t.producers[id] = p
	}
	epoch, _ := number(r, "epoch")
	sequence, _ := number(r, "sequence")
	switch {
	case epoch < p.epoch:
		return http.StatusConflict, appendAnswer{Reason: "fenced"}
	case epoch > p.epoch:
		*p = producer{epoch: epoch, next: sequence}
	}
	if len(records) == 0 {
		p.next = max(p.next, sequence+1)
		return http.StatusOK, appendAnswer{Offset: t.end(), EndOffset: t.end()}
	}
	if behind := int(p.next - sequence); behind > 0 && behind <= len(p.answers) {
		return http.StatusOK, p.answers[len(p.answers)-behind]
	}
	if sequence != p.next {
		return http.StatusConflict, appendAnswer{Reason: "seq", Sequence: p.next}
	}
	offset := t.add(records, strings.HasPrefix(name, "keyed."))
	answer := appendAnswer{Offset: offset, EndOffset: t.end()}
	p.next++
	p.answers = append(p.answers, answer)
	p.answers = p.answers[max(0, len(p.answers)-answersKept):]
	return http.StatusOK, answer
}

func (l *logServer) serveRead(w http.ResponseWriter, r *http.Request) {
	from, _ := number(r, "source")
	wait, _ := number(r, "wait_ms")
	maxKB, limited := number(r, "max_kb")
	if !limited {
		maxKB = 1024
	}
	l.answerTime()
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for timedOut := wait == 0; ; {
		l.mu.Lock()
		t := l.topic(r.URL.Query().Get("topic"))
		changed := t.changed
		if from < t.start {
			start := t.start
			l.mu.Unlock()
			writeJSON(w, http.StatusGone, map[string]int64{"start_offset": start})
			return
		}
		if from < t.end() || timedOut {
			page := t.page(from, int(maxKB)<<10)
			l.mu.Unlock()
			_, _ = w.Write(page)
			return
		}
		l.mu.Unlock()
		select {
		case <-changed:
		case <-deadline.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

func (t *topic) page(from int64, most int) []byte {
	page := binary.BigEndian.AppendUint64(nil, uint64(t.end()))
	page = binary.BigEndian.AppendUint64(page, uint64(t.start))
	for offset := from; offset < t.end(); offset++ {
		record := t.records[offset-t.start]
		if offset > from && len(page)+len(record) > most {
			break
		}
		page = binary.BigEndian.AppendUint32(page, uint32(len(record)))
		page = append(page, record...)
	}
	return page
}

func (l *logServer) serveNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	l.answerTime()
	after := r.URL.Query().Get("dependencies")
	l.mu.Lock()
	t := l.topic(r.URL.Query().Get("topic"))
	items := []item{}
	for key, offset := range t.newest {
		if key > after || after == "" {
			_, value, _ := splitKey(t.records[offset-t.start])
			items = append(items, item{key, base64.StdEncoding.EncodeToString(value), offset})
		}
	}
	end := t.end()
	l.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > newestPageSize
	writeJSON(w, http.StatusOK, map[string]any{"items": items[:min(len(items), newestPageSize)], "has_more": more, "end_offset": end})
}

func (l *logServer) serveTrim(w http.ResponseWriter, body []byte) {
	var request struct {
		Topic  string `json:"topic"`
		Before int64  `json:"before_offset"`
	}
	if err := json.Unmarshal(body, &request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	l.answerTime()
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(request.Topic)
	drop := min(max(0, request.Before-t.start), int64(len(t.records)))
	t.records = append([][]byte(nil), t.records[drop:]...)
	t.start += drop
	w.WriteHeader(http.StatusOK)
}
