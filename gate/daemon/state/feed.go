package state

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"mangowing/core/event"
	"mangowing/core/record"
	"mangowing/gate/peers"
)

const (
	methodRead     = "state/read"
	methodSnapshot = "state/snapshot"

	pollKey       = "log-poller"
	readMost      = 512
	pollWait      = time.Second
	callMargin    = 700 * time.Millisecond
	freshMargin   = 500 * time.Millisecond
	probePeriod   = 2 * time.Second
	failurePause  = 100 * time.Millisecond
	staleLimitMs  = 1 << 40
	snapshotLimit = 10 * time.Second
)

var errLogDown = eris.New("the log did not answer lately")

var errBehind = eris.New("the source no longer holds the next entry")

type readWire struct {
	From   uint64 `json:"from"`
	Most   int    `json:"most"`
	WaitMs int64  `json:"wait-ms"`
}

type readAnswerWire struct {
	Oldest      uint64  `json:"oldest"`
	Next        uint64  `json:"next"`
	StalenessMs int64   `json:"staleness-ms"`
	Entries     []entry `json:"entries,omitempty"`
}

type snapshotAnswerWire struct {
	Offset uint64          `json:"offset"`
	State  json.RawMessage `json:"state"`
}

// freshness remembers when the end of the log was last seen, by this gate or by the one it reads from.
type freshness struct {
	mu      sync.Mutex
	seen    time.Time
	pauses  uint64
	logDown bool
}

// set tells whether this is the first sight of the log's end since the start or since a pause.
func (f *freshness) set(seen time.Time, pauses uint64) (first bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	first = f.seen.IsZero() || f.pauses < pauses
	if seen.After(f.seen) {
		f.seen = seen
	}
	f.pauses = max(f.pauses, pauses)
	return first
}

func (s *Service) refreshed(seen time.Time, pauses uint64) {
	if s.freshness.set(seen, pauses) && s.onSync != nil {
		s.onSync()
	}
}

func (f *freshness) setLogDown(down bool) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed = f.logDown != down
	f.logDown = down
	return changed
}

// Synced tells whether the gate has folded all that it could learn of since its start and since its last pause.
func (s *Service) IsSynced() bool {
	s.freshness.mu.Lock()
	defer s.freshness.mu.Unlock()
	return !s.freshness.seen.IsZero() && s.freshness.pauses >= s.process.Timers().Pauses()
}

// LogReachable tells whether this gate's last own call to the log was answered.
func (s *Service) IsLogReachable() bool {
	s.freshness.mu.Lock()
	defer s.freshness.mu.Unlock()
	return !s.freshness.logDown
}

// StalenessMs returns the milliseconds since the end of the log was last seen, a very large number for never.
func (s *Service) StalenessMs() int64 {
	s.freshness.mu.Lock()
	defer s.freshness.mu.Unlock()
	if s.freshness.seen.IsZero() {
		return staleLimitMs
	}
	return time.Since(s.freshness.seen).Milliseconds()
}

// Feed reads entries until the context ends: the poller of a data centre from the log, the others from it.
func (s *Service) FollowLog(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := s.feedOnce(ctx); err != nil {
			klog.V(2).InfoS("feed-failed", "error", err.Error())
			sleep(ctx, failurePause)
		}
	}
	return ctx.Err()
}

// feedOnce reads from the data centre's poller, else from the log, else from the other gates. A poller that lost sight
// of the log answers too, so that only a fresh answer ends the search.
func (s *Service) feedOnce(ctx context.Context) error {
	poller, ok := s.view().Pick(s.ownDataCentre(), pollKey)
	if ok && !poller.IsSelf() && s.readPeer(ctx, poller, pollWait) {
		return nil
	}
	failure := s.probeLog(ctx)
	if failure == nil {
		return nil
	}
	for _, m := range s.view().Rank("", pollKey) {
		if !m.IsSelf() && m.Offset() >= s.State().Offset() && s.readPeer(ctx, m, pollWait) {
			return nil
		}
	}
	return failure
}

// probeLog reads the log, but only now and then while it does not answer a gate that has state.
func (s *Service) probeLog(ctx context.Context) error {
	if s.IsSynced() && time.Now().Before(s.probeAt) {
		return errLogDown
	}
	err := s.readLog(ctx)
	if err != nil {
		s.probeAt = time.Now().Add(probePeriod)
	}
	return err
}

func (s *Service) ownDataCentre() string {
	for _, m := range s.view().Members() {
		if m.IsSelf() {
			return m.DataCentre()
		}
	}
	return ""
}

func (s *Service) readLog(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, pollWait+callMargin)
	defer cancel()
	pauses := s.process.Timers().Pauses()
	page, err := s.log.Read(callCtx, StreamControl, s.State().Offset()+1, readMost, pollWait)
	s.noteLog(ctx, err)
	if err != nil {
		return err
	}
	if page.Oldest() > s.State().Offset()+1 {
		return s.catchUp(ctx)
	}
	entries := make([]entry, 0, len(page.Entries()))
	for _, e := range page.Entries() {
		entries = append(entries, entry{e.Offset(), string(e.Data())})
	}
	if err := s.applyAll(ctx, entries); err != nil {
		return err
	}
	if s.State().Offset()+1 >= page.Next() {
		s.refreshed(time.Now(), pauses)
	}
	return nil
}

func (s *Service) noteLog(ctx context.Context, err error) {
	if ctx.Err() != nil || !s.freshness.setLogDown(err != nil) {
		return
	}
	kind := "log-back"
	if err != nil {
		kind = "log-down"
	}
	klog.InfoS(kind, "offset", s.State().Offset())
	s.process.Events().Add(kind, event.Fields{})
}

// catchUp adopts a snapshot because the log no longer holds the next entry.
func (s *Service) catchUp(ctx context.Context) error {
	if err := s.adoptLogged(ctx); err == nil {
		return nil
	}
	for _, m := range s.view().Rank("", pollKey) {
		if !m.IsSelf() && m.Offset() > s.State().Offset() && s.adoptFrom(ctx, m) == nil {
			return nil
		}
	}
	return errBehind
}

func (s *Service) adoptLogged(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, snapshotLimit)
	defer cancel()
	page, err := s.log.Read(ctx, StreamSnapshot, 1, 1, 0)
	if err != nil {
		return err
	}
	page, err = s.log.Read(ctx, StreamSnapshot, page.Next()-1, 1, 0)
	if err != nil {
		return err
	}
	for _, e := range page.Entries() {
		if snap, ok := decodeSnapshot(e.Data()); ok && snap.Covered() > s.State().Offset() {
			return s.adopt(ctx, snap.State())
		}
	}
	return errBehind
}

func decodeSnapshot(data []byte) (record.Snapshot, bool) {
	raws, err := record.SplitBatch(data)
	if err != nil || len(raws) == 0 {
		return record.Snapshot{}, false
	}
	r, err := record.Decode(raws[0])
	if err != nil {
		return record.Snapshot{}, false
	}
	snap, ok := r.Body().(record.Snapshot)
	return snap, ok
}

// readPeer takes entries of another gate and tells whether that gate itself had seen the log's end lately.
func (s *Service) readPeer(ctx context.Context, m peers.Member, wait time.Duration) bool {
	callCtx, cancel := context.WithTimeout(ctx, wait+callMargin)
	defer cancel()
	pauses := s.process.Timers().Pauses()
	var answer readAnswerWire
	params := readWire{s.State().Offset() + 1, readMost, wait.Milliseconds()}
	if err := s.peers.Call(callCtx, m.Address(), methodRead, params, &answer); err != nil {
		return false
	}
	if err := s.takeAnswer(ctx, m, answer); err != nil {
		klog.V(1).InfoS("peer-read-failed", "gate", m.Name(), "error", err.Error())
		return false
	}
	if s.State().Offset()+1 >= answer.Next && answer.StalenessMs < staleLimitMs {
		s.refreshed(time.Now().Add(-time.Duration(answer.StalenessMs)*time.Millisecond), pauses)
	}
	return answer.StalenessMs <= (pollWait + freshMargin).Milliseconds()
}

func (s *Service) takeAnswer(ctx context.Context, m peers.Member, answer readAnswerWire) error {
	if answer.Oldest > s.State().Offset()+1 {
		return s.adoptFrom(ctx, m)
	}
	return s.applyAll(ctx, answer.Entries)
}

func (s *Service) adoptFrom(ctx context.Context, m peers.Member) error {
	ctx, cancel := context.WithTimeout(ctx, snapshotLimit)
	defer cancel()
	var answer snapshotAnswerWire
	if err := s.peers.Call(ctx, m.Address(), methodSnapshot, struct{}{}, &answer); err != nil {
		return err
	}
	return s.adopt(ctx, answer.State)
}

func (s *Service) registerHandlers() {
	s.peers.Handle(methodRead, s.answerRead)
	s.peers.Handle(methodSnapshot, s.answerSnapshot)
	s.peers.Handle(methodAppend, s.answerAppend)
	s.peers.Handle(methodWithdraw, s.answerWithdraw)
	s.peers.Handle(methodWithdrawn, s.answerWithdrawn)
	s.peers.Handle(methodInForce, s.answerInForce)
}

func (s *Service) answerRead(ctx context.Context, raw json.RawMessage) (any, error) {
	var w readWire
	if err := json.Unmarshal(raw, &w); err != nil {
		return nil, err
	}
	wait := min(time.Duration(w.WaitMs)*time.Millisecond, pollWait)
	found, oldest, next := s.tail.await(ctx, w.From, min(w.Most, readMost), wait)
	return readAnswerWire{oldest, next, s.StalenessMs(), found}, nil
}

func (s *Service) answerSnapshot(ctx context.Context, _ json.RawMessage) (any, error) {
	e, err := s.encode(ctx)
	return snapshotAnswerWire{e.offset, e.raw}, err
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
