package cloud

import (
	"context"
	"sync"
	"time"

	"mangowing/core/timer"
	"mangowing/gate/ports"
)

// Fault is a fault that the log injects into a gate's calls.
type Fault uint8

// Faults. With the zero value calls are served.
const (
	FaultNone         Fault = iota
	FaultReject             // calls are rejected at once without effect
	FaultNoResponse         // calls get no response and have no effect
	FaultLoseResponse       // appends take effect but get no response
)

// Log keeps topics in memory. Each gate calls it through a view of its own.
type Log struct {
	mu      sync.Mutex
	topics  map[partitionKey]*logTopic
	keyed   map[string]map[string][]byte
	faults  map[string]Fault // by gate; "" stands for all
	failed  map[partitionKey]Fault
	delays  map[delayKey]time.Duration
	changed chan struct{}
	appends int
}

type delayKey struct {
	gate  string
	topic string
}

type partitionKey struct {
	topic     string
	partition int
}

// logTopic is a partition of a topic.
type logTopic struct {
	oldestOffset int64
	records      [][]byte
	producers    map[string]*producerState
}

type producerState struct {
	epoch    int64
	sequence int64
	offset   int64 // returned for the last append
}

func (t *logTopic) endOffset() int64 { return t.oldestOffset + int64(len(t.records)) }

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{
		topics: map[partitionKey]*logTopic{}, keyed: map[string]map[string][]byte{}, faults: map[string]Fault{}, failed: map[partitionKey]Fault{}, delays: map[delayKey]time.Duration{},
		changed: make(chan struct{}),
	}
}

// SetFault sets the fault injected into the calls of a gate, or of all gates if the name is empty.
func (l *Log) SetFault(gate string, f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults[gate] = f
}

// SetPartitionFault sets the fault injected into all gates' calls of one partition of a topic.
func (l *Log) SetPartitionFault(topic string, partition int, f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed[partitionKey{topic, partition}] = f
}

// DelayReads delays the start of each of a gate's reads of a topic.
func (l *Log) DelayReads(gate, topic string, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delays[delayKey{gate, topic}] = delay
}

func (l *Log) delayOf(gate, topic string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.delays[delayKey{gate, topic}]
}

// Appends returns the number of appends that took effect.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// View returns the log as the named gate sees it, subject to the faults set for that gate.
func (l *Log) View(gate string) ports.Log { return logView{l, gate} }

type logView struct {
	log  *Log
	gate string
}

func (l *Log) faultOf(gate string, p partitionKey) Fault {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f := l.faults[""]; f != FaultNone {
		return f
	}
	if f := l.failed[p]; f != FaultNone {
		return f
	}
	return l.faults[gate]
}

// applyFault returns the error of a call that a fault keeps from being served, nil if it is served.
func (v logView) applyFault(ctx context.Context, p partitionKey) error {
	switch v.log.faultOf(v.gate, p) {
	case FaultReject:
		return ports.ErrRejected
	case FaultNoResponse:
		<-ctx.Done()
		return ports.ErrOutcomeUnknown
	default:
		return nil
	}
}

// Append appends the records if the call's conditions hold, and returns the offset of the first one.
func (v logView) Append(ctx context.Context, a ports.Append) (int64, error) {
	p := partitionKey{a.Topic, a.Partition}
	if err := v.applyFault(ctx, p); err != nil {
		return 0, err
	}
	offset, err := v.log.append(a)
	if v.log.faultOf(v.gate, p) == FaultLoseResponse {
		<-ctx.Done()
		return 0, ports.ErrOutcomeUnknown
	}
	return offset, err
}

func (l *Log) append(a ports.Append) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.partition(a.Topic, a.Partition)
	if a.ExpectedEnd != ports.AnyEnd && a.ExpectedEnd != t.endOffset() {
		return 0, ports.ErrEndMismatch
	}
	if a.Producer != "" {
		if offset, done, err := t.checkProducer(a); done || err != nil {
			return offset, err
		}
	}
	offset := t.endOffset()
	t.records = append(t.records, a.Records...)
	l.appends++
	close(l.changed)
	l.changed = make(chan struct{})
	return offset, nil
}

// checkProducer checks the producer's epoch and sequence and stores them. For a repetition of the last append, which took effect
// already, it returns the offset of that append.
func (t *logTopic) checkProducer(a ports.Append) (offset int64, isRepeat bool, err error) {
	p, known := t.producers[a.Producer]
	switch {
	case known && a.Epoch < p.epoch:
		return 0, false, ports.ErrFenced
	case known && a.Epoch == p.epoch && a.Sequence == p.sequence:
		return p.offset, true, nil
	case known && a.Epoch == p.epoch && a.Sequence != p.sequence+1:
		return 0, false, ports.ErrSequence
	}
	t.producers[a.Producer] = &producerState{a.Epoch, a.Sequence, t.endOffset()}
	return 0, false, nil
}

func (l *Log) partition(topic string, partition int) *logTopic {
	key := partitionKey{topic, partition}
	t, found := l.topics[key]
	if !found {
		t = &logTopic{producers: map[string]*producerState{}}
		l.topics[key] = t
	}
	return t
}

// Read returns the records of a partition from an offset on, waiting for the first one if there is none.
func (v logView) Read(ctx context.Context, name string, partition int, from int64, wait time.Duration) (ports.Page, error) {
	timer.Sleep(ctx, v.log.delayOf(v.gate, name))
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		if err := v.applyFault(ctx, partitionKey{name, partition}); err != nil {
			return ports.Page{}, err
		}
		page, changed, err := v.log.readPage(name, partition, from)
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

func (l *Log) readPage(name string, partition int, from int64) (ports.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.partition(name, partition)
	page := ports.Page{StartOffset: from, OldestOffset: t.oldestOffset, EndOffset: t.endOffset()}
	if from < t.oldestOffset {
		return page, l.changed, ports.ErrTrimmed
	}
	if from < t.endOffset() {
		page.Records = append(page.Records, t.records[from-t.oldestOffset:]...)
	}
	return page, l.changed, nil
}

// Trim deletes a partition's records before the offset.
func (v logView) Trim(ctx context.Context, name string, partition int, before int64) error {
	if err := v.applyFault(ctx, partitionKey{name, partition}); err != nil {
		return err
	}
	v.log.mu.Lock()
	defer v.log.mu.Unlock()
	t := v.log.partition(name, partition)
	if n := min(before, t.endOffset()) - t.oldestOffset; n > 0 {
		t.records, t.oldestOffset = t.records[n:], t.oldestOffset+n
	}
	return nil
}

// Put writes a new value of a key.
func (v logView) Put(ctx context.Context, name string, e ports.KeyValue) error {
	if err := v.applyFault(ctx, partitionKey{topic: name}); err != nil {
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

// Newest returns the newest value of each key.
func (v logView) Newest(ctx context.Context, name string) ([]ports.KeyValue, error) {
	if err := v.applyFault(ctx, partitionKey{topic: name}); err != nil {
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
