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

// Config is the log's retention and speed.
type Config struct {
	RetentionAge     time.Duration // entries older than this are dropped
	RetentionEntries int           // the most entries that a stream keeps
	AppendLatency    time.Duration // how long an append takes
}

type faults struct {
	down        bool
	slow        time.Duration
	answersLost int
}

type stream struct {
	oldest  uint64
	entries []entry
}

type entry struct {
	at   time.Time
	data string
}

// page is a part of a stream; its first entry has the offset first.
type page struct {
	oldest  uint64
	next    uint64
	first   uint64
	entries []entry
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
	l.wake()
	return s.next() - 1
}

func (l *Log) read(name string, from uint64, limit int) (page, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	from = max(from, s.oldest)
	p := page{oldest: s.oldest, next: s.next(), first: from}
	if from < s.next() {
		rest := s.entries[from-s.oldest:]
		p.entries = rest[:min(limit, len(rest))]
	}
	return p, l.changed
}

// Expire drops entries past the retention.
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
		s.oldest += uint64(drop)
	}
}

func (s *stream) next() uint64 { return s.oldest + uint64(len(s.entries)) }

func (l *Log) stream(name string) *stream {
	if l.streams[name] == nil {
		l.streams[name] = &stream{oldest: 1}
	}
	return l.streams[name]
}

func (l *Log) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// SetFault switches a fault on by a value above 0 and off by 0: down, slow (milliseconds) or answers-lost (how many
// of the next appends); it tells whether there is such a fault.
func (l *Log) SetFault(name string, value int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch name {
	case "down":
		l.faults.down = value > 0
	case "slow":
		l.faults.slow = time.Duration(value) * time.Millisecond
	case "answers-lost":
		l.faults.answersLost = value
	default:
		return false
	}
	l.wake()
	return true
}

func (l *Log) currentFaults() faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// loseAnswer tells whether the answer of this append is to be lost.
func (l *Log) loseAnswer() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.answersLost == 0 {
		return false
	}
	l.faults.answersLost--
	return true
}
