package cloud

import (
	"context"
	"sync"
	"time"

	"mangowing/core/timer"
	"mangowing/gate/ports"
)

// Fault is what the log does to a gate's calls.
type Fault uint8

// Faults; the zero value answers.
const (
	None   Fault = iota
	Refuse       // calls are turned away at once, nothing is done
	Silent       // calls get no answer, nothing is done
	Lose         // writes are done and get no answer
)

// Log keeps topics in memory; each gate reaches it by a view of its own.
type Log struct {
	mu      sync.Mutex
	topics  map[string]*topic
	keyed   map[string]map[string][]byte
	faults  map[string]Fault // by gate; "" is for all
	delays  map[delayKey]time.Duration
	changed chan struct{}
	appends int
}

type delayKey struct {
	gate  string
	topic string
}

type topic struct {
	first     int64
	records   [][]byte
	producers map[string]*producerState
}

type producerState struct {
	epoch    int64
	sequence int64
	offset   int64 // of the last append
}

func (t *topic) end() int64 { return t.first + int64(len(t.records)) }

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{
		topics: map[string]*topic{}, keyed: map[string]map[string][]byte{}, faults: map[string]Fault{}, delays: map[delayKey]time.Duration{},
		changed: make(chan struct{}),
	}
}

// Fail sets what the log does to the calls of a gate, or of all gates for an empty name.
func (l *Log) Fail(gate string, f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults[gate] = f
}

// Slow makes a gate's reads of a topic wait for that long before they begin.
func (l *Log) Slow(gate, topic string, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delays[delayKey{gate, topic}] = delay
}

func (l *Log) delayOf(gate, topic string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.delays[delayKey{gate, topic}]
}

// Appends returns how many appends were done.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// View returns the log as the gate of that name reaches it.
func (l *Log) View(gate string) ports.Log { return view{l, gate} }

type view struct {
	log  *Log
	gate string
}

func (l *Log) faultOf(gate string) Fault {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f := l.faults[""]; f != None {
		return f
	}
	return l.faults[gate]
}

// admit returns the error of a call that is not served.
func (v view) admit(ctx context.Context) error {
	switch v.log.faultOf(v.gate) {
	case Refuse:
		return ports.ErrRejected
	case Silent:
		<-ctx.Done()
		return ports.ErrOutcomeUnknown
	default:
		return nil
	}
}

// Append adds records under the call's conditions.
func (v view) Append(ctx context.Context, a ports.Append) (int64, error) {
	if err := v.admit(ctx); err != nil {
		return 0, err
	}
	offset, err := v.log.append(a)
	if v.log.faultOf(v.gate) == Lose {
		<-ctx.Done()
		return 0, ports.ErrOutcomeUnknown
	}
	return offset, err
}

func (l *Log) append(a ports.Append) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(a.Topic)
	if a.ExpectedEnd != ports.AnyEnd && a.ExpectedEnd != t.end() {
		return 0, ports.ErrEndMismatch
	}
	if a.Producer != "" {
		if offset, done, err := t.produce(a); done || err != nil {
			return offset, err
		}
	}
	offset := t.end()
	t.records = append(t.records, a.Records...)
	l.appends++
	close(l.changed)
	l.changed = make(chan struct{})
	return offset, nil
}

// produce checks epoch and sequence; a repeat of the last append is done already.
func (t *topic) produce(a ports.Append) (offset int64, done bool, err error) {
	p, known := t.producers[a.Producer]
	switch {
	case known && a.Epoch < p.epoch:
		return 0, false, ports.ErrFenced
	case known && a.Epoch == p.epoch && a.Sequence == p.sequence:
		return p.offset, true, nil
	case known && a.Epoch == p.epoch && a.Sequence != p.sequence+1:
		return 0, false, ports.ErrSequence
	}
	t.producers[a.Producer] = &producerState{a.Epoch, a.Sequence, t.end()}
	return 0, false, nil
}

func (l *Log) topic(name string) *topic {
	t, found := l.topics[name]
	if !found {
		t = &topic{producers: map[string]*producerState{}}
		l.topics[name] = t
	}
	return t
}

// Read returns records, waiting for the first one.
func (v view) Read(ctx context.Context, name string, from int64, wait time.Duration) (ports.Page, error) {
	timer.Sleep(ctx, v.log.delayOf(v.gate, name))
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		if err := v.admit(ctx); err != nil {
			return ports.Page{}, err
		}
		page, changed, err := v.log.page(name, from)
		if err != nil || len(page.Records) > 0 || wait == 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-timeout.C:
			return page, nil
		case <-ctx.Done():
			return page, ports.ErrOutcomeUnknown
		}
	}
}

func (l *Log) page(name string, from int64) (ports.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(name)
	page := ports.Page{StartOffset: from, OldestOffset: t.first, EndOffset: t.end()}
	if from < t.first {
		return page, l.changed, ports.ErrTrimmed
	}
	if from < t.end() {
		page.Records = append(page.Records, t.records[from-t.first:]...)
	}
	return page, l.changed, nil
}

// Trim drops records.
func (v view) Trim(ctx context.Context, name string, before int64) error {
	if err := v.admit(ctx); err != nil {
		return err
	}
	v.log.mu.Lock()
	defer v.log.mu.Unlock()
	t := v.log.topic(name)
	if n := min(before, t.end()) - t.first; n > 0 {
		t.records, t.first = t.records[n:], t.first+n
	}
	return nil
}

// Put writes a key's value.
func (v view) Put(ctx context.Context, name string, e ports.KeyValue) error {
	if err := v.admit(ctx); err != nil {
		return err
	}
	v.log.mu.Lock()
	defer v.log.mu.Unlock()
	if v.log.keyed[name] == nil {
		v.log.keyed[name] = map[string][]byte{}
	}
	v.log.keyed[name][e.Key] = e.Value
	return nil
}

// Newest returns the value of each key.
func (v view) Newest(ctx context.Context, name string) ([]ports.KeyValue, error) {
	if err := v.admit(ctx); err != nil {
		return nil, err
	}
	v.log.mu.Lock()
	defer v.log.mu.Unlock()
	var entries []ports.KeyValue
	for key, value := range v.log.keyed[name] {
		entries = append(entries, ports.KeyValue{Key: key, Value: value})
	}
	return entries, nil
}
