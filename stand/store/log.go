package store

import (
	"sync"
	"time"
)

// Log keeps streams of entries in memory.
type Log struct {
	cfg     Config
	mu      sync.Mutex
	streams map[string]*stream
	faults  faults
	changed chan struct{}
}

// Config holds the log's retention and latency.
type Config struct {
	RetentionAge     time.Duration // entries older than this are dropped
	RetentionEntries int           // maximum number of entries in a stream
	AppendLatency    time.Duration // how long an append takes
}

type faults struct {
	isDown      bool
	delay       time.Duration
	answersLost int
}

type stream struct {
	oldestOffset uint64
	entries      []entry
}

type entry struct {
	at   time.Time
	data string
}

// page is a range of a stream's entries that starts at firstOffset; nextOffset is the end of the whole stream.
type page struct {
	oldestOffset uint64
	nextOffset   uint64
	firstOffset  uint64
	entries      []entry
}

// NewLog returns an empty log.
func NewLog(cfg Config) *Log {
	return &Log{cfg: cfg, streams: map[string]*stream{}, changed: make(chan struct{})}
}

func (l *Log) append(name string, data string, now time.Time) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	s.entries = append(s.entries, entry{now, data})
	l.notifyReaders()
	return s.nextOffset() - 1
}

func (l *Log) read(name string, from uint64, limit int) (page, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	from = max(from, s.oldestOffset)
	p := page{oldestOffset: s.oldestOffset, nextOffset: s.nextOffset(), firstOffset: from}
	if from < s.nextOffset() {
		rest := s.entries[from-s.oldestOffset:]
		p.entries = rest[:min(limit, len(rest))]
	}
	return p, l.changed
}

// Expire drops the entries that exceed the retention by age or number.
func (l *Log) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.streams {
		s.expire(l.cfg, now)
	}
}

func (s *stream) expire(cfg Config, now time.Time) {
	drop := max(0, len(s.entries)-cfg.RetentionEntries)
	for drop < len(s.entries) && now.Sub(s.entries[drop].at) > cfg.RetentionAge {
		drop++
	}
	if drop > 0 {
		s.entries = append([]entry(nil), s.entries[drop:]...)
		s.oldestOffset += uint64(drop)
	}
}

func (s *stream) nextOffset() uint64 { return s.oldestOffset + uint64(len(s.entries)) }

func (l *Log) stream(name string) *stream {
	if l.streams[name] == nil {
		l.streams[name] = &stream{oldestOffset: 1}
	}
	return l.streams[name]
}

func (l *Log) notifyReaders() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// SetFault switches a fault on (value above 0) or off (0): down, slow (value is the delay in ms) or answers-lost (value is
// the number of next appends that take effect without an answer). It reports whether such a fault exists.
func (l *Log) SetFault(name string, value int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch name {
	case "down":
		l.faults.isDown = value > 0
	case "slow":
		l.faults.delay = time.Duration(value) * time.Millisecond
	case "answers-lost":
		l.faults.answersLost = value
	default:
		return false
	}
	l.notifyReaders()
	return true
}

func (l *Log) currentFaults() faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// takeLostAnswer counts down the answers-lost fault and reports whether the answer to this append must be dropped.
func (l *Log) takeLostAnswer() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.answersLost == 0 {
		return false
	}
	l.faults.answersLost--
	return true
}
