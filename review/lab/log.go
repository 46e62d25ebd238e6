package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	answersKept = 5 // appends of a producer whose repeats get their first answer again
	appendTime  = 4 * time.Millisecond
	newestPage  = 500
)

// logServer is a stand-in of the platform's store, without faults.
type logServer struct {
	address string
	mu      sync.Mutex
	parts   map[string]*partition
}

type partition struct {
	records   [][]byte
	start     int64
	newest    map[string]int64 // by key, the offset of its newest record
	producers map[string]*producer
	appended  chan struct{}
}

type producer struct {
	epoch   int64
	next    int64 // sequence number of the next append
	answers map[int64]map[string]any
}

func newLogServer() (*logServer, error) {
	s := &logServer{parts: map[string]*partition{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", s.append)
	mux.HandleFunc("GET /v1/log-read", s.read)
	mux.HandleFunc("GET /v1/log-newest", s.listNewest)
	mux.HandleFunc("POST /v1/log-trim", s.trim)
	go func() { _ = (&http.Server{Handler: mux}).Serve(listener) }()
	return s, nil
}

// partition returns a partition, created on first use. The lock must be held.
func (s *logServer) partition(topic, part string) *partition {
	name := topic + "/" + part
	p := s.parts[name]
	if p == nil {
		p = &partition{newest: map[string]int64{}, producers: map[string]*producer{}, appended: make(chan struct{})}
		s.parts[name] = p
	}
	return p
}

func (p *partition) end() int64 { return p.start + int64(len(p.records)) }

func (p *partition) add(records [][]byte, keyed bool) int64 {
	first := p.end()
	for i, r := range records {
		if keyed && len(r) > 0 && len(r) >= 1+int(r[0]) {
			key := string(r[1 : 1+int(r[0])])
			p.newest[key] = first + int64(i)
			if len(r) == 1+int(r[0]) {
				delete(p.newest, key)
			}
		}
	}
	p.records = append(p.records, records...)
	close(p.appended)
	p.appended = make(chan struct{})
	return first
}

// put writes the value of a key as the operator, a worker or the platform does; nil deletes the key.
func (s *logServer) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := append(append([]byte{byte(len(key))}, key...), value...)
	s.partition(topic, "0").add([][]byte{record}, true)
}

func reply(w http.ResponseWriter, status int, body any) {
	raw, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

func number(r *http.Request, name string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return n
}

func (s *logServer) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(appendTime)
	var records [][]byte
	for rest := body; len(rest) >= 4; {
		size := int(binary.BigEndian.Uint32(rest))
		if len(rest) < 4+size {
			reply(w, http.StatusBadRequest, map[string]any{})
			return
		}
		records = append(records, rest[4:4+size])
		rest = rest[4+size:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	query := r.URL.Query()
	topic := query.Get("topic")
	p := s.partition(topic, query.Get("part"))
	if query.Has("timestamp") && number(r, "timestamp") != p.end() {
		reply(w, http.StatusPreconditionFailed, map[string]any{"end_offset": p.end()})
		return
	}
	if !query.Has("producer") {
		first := p.add(records, strings.HasPrefix(topic, "keyed."))
		reply(w, http.StatusOK, map[string]any{"offset": first, "end_offset": p.end()})
		return
	}
	epoch, sequence := number(r, "epoch"), number(r, "sequence")
	pr := p.producers[query.Get("producer")]
	if pr == nil {
		pr = &producer{epoch: -1}
		p.producers[query.Get("producer")] = pr
	}
	switch {
	case epoch < pr.epoch:
		reply(w, http.StatusConflict, map[string]any{"reason": "fenced"})
		return
	case epoch > pr.epoch:
		*pr = producer{epoch: epoch, next: sequence, answers: map[int64]map[string]any{}}
	}
	if answer := pr.answers[sequence]; answer != nil && sequence >= pr.next-answersKept {
		reply(w, http.StatusOK, answer)
		return
	}
	if sequence != pr.next {
		reply(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": pr.next})
		return
	}
	first := p.add(records, false)
	answer := map[string]any{"offset": first, "end_offset": p.end()}
	pr.answers[sequence] = answer
	pr.next++
	reply(w, http.StatusOK, answer)
}

func (s *logServer) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	source, limit := number(r, "source"), int64(1024)
	if query.Has("max_kb") {
		limit = number(r, "max_kb")
	}
	timeout := time.After(time.Duration(number(r, "wait_ms")) * time.Millisecond)
	time.Sleep(appendTime)
	s.mu.Lock()
	for {
		p := s.partition(query.Get("topic"), query.Get("part"))
		if source < p.start {
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]any{"start_offset": p.start})
			return
		}
		if source < p.end() || number(r, "wait_ms") == 0 {
			break
		}
		appended := p.appended
		s.mu.Unlock()
		expired := false
		select {
		case <-appended:
		case <-timeout:
			expired = true
		case <-r.Context().Done():
			return
		}
		s.mu.Lock()
		if expired {
			break
		}
	}
	p := s.partition(query.Get("topic"), query.Get("part"))
	var body []byte
	body = binary.BigEndian.AppendUint64(body, uint64(p.end()))
	body = binary.BigEndian.AppendUint64(body, uint64(p.start))
	for at := max(0, source-p.start); at < int64(len(p.records)); at++ {
		record := p.records[at]
		if int64(len(body)+len(record)+4) > limit<<10 && len(body) > 16 {
			break
		}
		body = binary.BigEndian.AppendUint32(body, uint32(len(record)))
		body = append(body, record...)
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(body)
}

func (s *logServer) listNewest(w http.ResponseWriter, r *http.Request) {
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(r.URL.Query().Get("topic"), r.URL.Query().Get("part"))
	var keys []string
	for key := range p.newest {
		if key > r.URL.Query().Get("dependencies") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items := []any{}
	for _, key := range keys[:min(len(keys), newestPage)] {
		record := p.records[p.newest[key]-p.start]
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(record[1+len(key):]), "offset": p.newest[key]})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": len(keys) > newestPage, "end_offset": p.end()})
}

func (s *logServer) trim(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Topic  string `json:"topic"`
		Part   int64  `json:"part"`
		Before int64  `json:"before_offset"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(order.Topic, strconv.FormatInt(order.Part, 10))
	if n := min(order.Before, p.end()) - p.start; n > 0 && !strings.HasPrefix(order.Topic, "keyed.") {
		p.records, p.start = p.records[n:], p.start+n
	}
	reply(w, http.StatusOK, map[string]any{})
}
