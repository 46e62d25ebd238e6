package main

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// retention is keep_s of the settings.
const retention = 300 * time.Second

// platformLog is a stand-in for the platform's log: it follows the section "The platform's metadata store" of PROTOCOL.md.
type platformLog struct {
	mu     sync.Mutex
	topics map[partitionName]*partition
}

type partitionName struct {
	topic string
	part  int64
}

type partition struct {
	records     []storedRecord
	startOffset int64                  // offset of the first record that is kept
	newest      map[string]newestValue // of a keyed topic, kept whatever the retention
	producers   map[string]*producer
	appended    chan struct{} // closed by the next append
}

type storedRecord struct {
	data     []byte
	storedAt time.Time
}

type newestValue struct {
	value  []byte
	offset int64
}

type producer struct {
	epoch        int64
	hasAppended  bool // in this epoch
	nextSequence int64
	answers      map[int64]appendAnswer // by sequence number, the last five
}

type appendAnswer struct {
	Offset    int64  `json:"offset"`
	EndOffset int64  `json:"end_offset"`
	Reason    string `json:"reason,omitempty"`
	Expected  int64  `json:"sequence,omitempty"`
}

func newPlatformLog() *platformLog {
	return &platformLog{topics: map[partitionName]*partition{}}
}

// partition returns a partition, without the records that have expired. The lock must be held.
func (l *platformLog) partition(name partitionName) *partition {
	p := l.topics[name]
	if p == nil {
		p = &partition{newest: map[string]newestValue{}, producers: map[string]*producer{}, appended: make(chan struct{})}
		l.topics[name] = p
	}
	if limit, expired := time.Now().Add(-retention), 0; len(p.records) > 0 && p.records[0].storedAt.Before(limit) {
		for expired < len(p.records) && p.records[expired].storedAt.Before(limit) {
			expired++
		}
		p.drop(expired)
	}
	return p
}

func (p *partition) drop(n int) {
	p.records = slices.Clone(p.records[n:])
	p.startOffset += int64(n)
}

func (p *partition) end() int64 { return p.startOffset + int64(len(p.records)) }

func (p *partition) append(records [][]byte, isKeyed bool) int64 {
	first := p.end()
	for i, r := range records {
		if isKeyed && len(r) > 0 && len(r) >= 1+int(r[0]) {
			key, value := string(r[1:1+int(r[0])]), r[1+int(r[0]):]
			p.newest[key] = newestValue{value, first + int64(i)}
			if len(value) == 0 {
				delete(p.newest, key)
			}
		}
		p.records = append(p.records, storedRecord{r, time.Now()})
	}
	close(p.appended)
	p.appended = make(chan struct{})
	return first
}

// put writes the newest value of a key, as operators and workers do. An empty value deletes the key.
func (l *platformLog) put(topic, key string, value []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	record := append([]byte{byte(len(key))}, key...)
	l.partition(partitionName{topic, 0}).append([][]byte{append(record, value...)}, true)
}

// get returns the newest value of a key.
func (l *platformLog) get(topic, key string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return string(l.partition(partitionName{topic, 0}).newest[key].value)
}

func nameOf(r *http.Request) partitionName {
	part, _ := strconv.ParseInt(r.URL.Query().Get("part"), 10, 64)
	return partitionName{r.URL.Query().Get("topic"), part}
}

func number(r *http.Request, key string, fallback int64) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(key), 10, 64)
	if err != nil {
		return fallback
	}
	return n
}

// oddByteMark stands for a byte that is no text in what a stand-in answers.
const oddByteMark = "~odd~"

func answerJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	body = bytes.ReplaceAll(body, []byte(oddByteMark), []byte{0xff})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// ServeHTTP handles a call of a gate.
func (l *platformLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch r.URL.Path {
	case "/v1/log-append":
		status, answer := l.handleAppend(r, body)
		answerJSON(w, status, answer)
	case "/v1/log-read":
		l.handleRead(w, r)
	case "/v1/log-newest":
		l.handleNewest(w, r)
	case "/v1/log-trim":
		l.handleTrim(w, body)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (l *platformLog) handleAppend(r *http.Request, body []byte) (int, appendAnswer) {
	name := nameOf(r)
	if name.topic == "keyed.op" || name.topic == "keyed.servers" {
		return http.StatusForbidden, appendAnswer{}
	}
	var records [][]byte
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		if len(body) < 4+size || size > 262144 {
			return http.StatusBadRequest, appendAnswer{}
		}
		records = append(records, slices.Clone(body[4:4+size]))
		body = body[4+size:]
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.partition(name)
	if expected := number(r, "timestamp", -1); expected >= 0 && expected != p.end() {
		return http.StatusPreconditionFailed, appendAnswer{EndOffset: p.end()}
	}
	id := r.URL.Query().Get("producer")
	if id == "" {
		first := p.append(records, strings.HasPrefix(name.topic, "keyed."))
		return http.StatusOK, appendAnswer{Offset: first, EndOffset: p.end()}
	}
	return p.appendAs(id, number(r, "epoch", 0), number(r, "sequence", 0), records)
}

func (p *partition) appendAs(id string, epoch, sequence int64, records [][]byte) (int, appendAnswer) {
	from := p.producers[id]
	if from == nil || epoch > from.epoch {
		from = &producer{epoch: epoch, answers: map[int64]appendAnswer{}}
		p.producers[id] = from
	}
	if epoch < from.epoch {
		return http.StatusConflict, appendAnswer{Reason: "fenced"}
	}
	if len(records) == 0 {
		return http.StatusOK, appendAnswer{Offset: p.end(), EndOffset: p.end()}
	}
	if answer, repeated := from.answers[sequence]; repeated {
		return http.StatusOK, answer
	}
	if from.hasAppended && sequence != from.nextSequence {
		return http.StatusConflict, appendAnswer{Reason: "seq", Expected: from.nextSequence}
	}
	first := p.append(records, false)
	answer := appendAnswer{Offset: first, EndOffset: p.end()}
	from.hasAppended, from.nextSequence = true, sequence+1
	from.answers[sequence] = answer
	delete(from.answers, sequence-5)
	return http.StatusOK, answer
}

func (l *platformLog) handleRead(w http.ResponseWriter, r *http.Request) {
	name, from := nameOf(r), number(r, "source", 0)
	most := int(number(r, "max_kb", 1024)) << 10
	timeout := time.NewTimer(time.Duration(number(r, "wait_ms", 0)) * time.Millisecond)
	defer timeout.Stop()
	for isOver := false; ; {
		l.mu.Lock()
		p := l.partition(name)
		appended := p.appended
		if from < p.startOffset {
			start := p.startOffset
			l.mu.Unlock()
			answerJSON(w, http.StatusGone, map[string]any{"start_offset": start})
			return
		}
		if from < p.end() || isOver || r.URL.Query().Get("wait_ms") == "" {
			page := p.page(from, most)
			l.mu.Unlock()
			_, _ = w.Write(page)
			return
		}
		l.mu.Unlock()
		select {
		case <-appended:
		case <-timeout.C:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
}

func (p *partition) page(from int64, most int) []byte {
	page := binary.BigEndian.AppendUint64(nil, uint64(p.end()))
	page = binary.BigEndian.AppendUint64(page, uint64(p.startOffset))
	for offset := from; offset < p.end(); offset++ {
		data := p.records[offset-p.startOffset].data
		if offset > from && len(page)+len(data) > most {
			break
		}
		page = binary.BigEndian.AppendUint32(page, uint32(len(data)))
		page = append(page, data...)
	}
	return page
}

func (l *platformLog) handleNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	l.mu.Lock()
	p := l.partition(nameOf(r))
	items := []item{}
	for key, v := range p.newest {
		if key > r.URL.Query().Get("dependencies") {
			items = append(items, item{key, base64.StdEncoding.EncodeToString(v.value), v.offset})
		}
	}
	end := p.end()
	l.mu.Unlock()
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	const most = 500
	answerJSON(w, http.StatusOK, map[string]any{"items": items[:min(most, len(items))], "has_more": len(items) > most, "end_offset": end})
}

func (l *platformLog) handleTrim(w http.ResponseWriter, body []byte) {
	var trim struct {
		Topic  string `json:"topic"`
		Part   int64  `json:"part"`
		Before int64  `json:"before_offset"`
	}
	if json.Unmarshal(body, &trim) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.partition(partitionName{trim.Topic, trim.Part})
	p.drop(int(min(max(0, trim.Before-p.startOffset), int64(len(p.records)))))
	answerJSON(w, http.StatusOK, map[string]any{})
}
