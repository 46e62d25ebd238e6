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

	pollerKey       = "log-poller"
	maxReadEntries  = 512
	pollWait        = time.Second
	callMargin      = 700 * time.Millisecond
	freshnessMargin = 500 * time.Millisecond
	probePeriod     = 2 * time.Second
	failurePause    = 100 * time.Millisecond
	neverSeenMs     = 1 << 40
	snapshotTimeout = 10 * time.Second
)

var errLogDown = eris.New("the last call to the log failed")

var errEntryDiscarded = eris.New("the source has discarded the next entry")

type readWire struct {
	From   uint64 `json:"from"`
	Max    int    `json:"most"`
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

// freshness holds when the end of the log was last read, by this gate or by the gate that it reads from.
type freshness struct {
	mu      sync.Mutex
	endSeen time.Time
	pauses  uint64
	logDown bool
}

// recordEnd records when the log's end was read, and reports whether this is the first time since the start or since a
// pause of the process.
func (f *freshness) recordEnd(seen time.Time, pauses uint64) (first bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	first = f.endSeen.IsZero() || f.pauses < pauses
	if seen.After(f.endSeen) {
		f.endSeen = seen
	}
	f.pauses = max(f.pauses, pauses)
	return first
}

func (s *Service) recordLogEnd(seen time.Time, pauses uint64) {
	if s.freshness.recordEnd(seen, pauses) && s.onSync != nil {
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

// IsSynced reports whether the gate has folded the log up to its end since its start and since its last pause. Without
// the log, the newest state of another gate counts too.
func (s *Service) IsSynced() bool {
	s.freshness.mu.Lock()
	defer s.freshness.mu.Unlock()
	return !s.freshness.endSeen.IsZero() && s.freshness.pauses >= s.process.Timers().Pauses()
}

// IsLogReachable reports whether this gate's last own call to the log was answered.
func (s *Service) IsLogReachable() bool {
	s.freshness.mu.Lock()
	defer s.freshness.mu.Unlock()
	return !s.freshness.logDown
}

// StalenessMs returns the milliseconds since the end of the log was last read, or a very large number if it never was.
func (s *Service) StalenessMs() int64 {
	s.freshness.mu.Lock()
	defer s.freshness.mu.Unlock()
	if s.freshness.endSeen.IsZero() {
		return neverSeenMs
	}
	return time.Since(s.freshness.endSeen).Milliseconds()
}

// FollowLog reads log entries until the context ends. One gate of each data centre, its poller, reads them from the log;
// the others read them from the poller.
func (s *Service) FollowLog(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := s.readOnce(ctx); err != nil {
			klog.V(2).InfoS("feed-failed", "error", err.Error())
			sleep(ctx, failurePause)
		}
	}
	return ctx.Err()
}

// readOnce reads from the data centre's poller, or else from the log, or else from the other gates. A poller that can't
// reach the log still answers, so only a fresh answer ends the search.
func (s *Service) readOnce(ctx context.Context) error {
	poller, ok := s.view().Pick(s.ownDataCentre(), pollerKey)
	if ok && !poller.IsSelf() && s.readPeer(ctx, poller, pollWait) {
		return nil
	}
	failure := s.probeLog(ctx)
	if failure == nil {
		return nil
	}
	for _, m := range s.view().Rank("", pollerKey) {
		if !m.IsSelf() && m.Offset() >= s.State().Offset() && s.readPeer(ctx, m, pollWait) {
			return nil
		}
	}
	return failure
}

// probeLog reads the log. While the log does not answer and this gate is synced, it tries only once per probePeriod.
func (s *Service) probeLog(ctx context.Context) error {
	if s.IsSynced() && time.Now().Before(s.nextProbe) {
		return errLogDown
	}
	err := s.readLog(ctx)
	if err != nil {
		s.nextProbe = time.Now().Add(probePeriod)
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
	page, err := s.log.Read(callCtx, StreamControl, s.State().Offset()+1, maxReadEntries, pollWait)
	s.recordLogCall(ctx, err)
	if err != nil {
		return err
	}
	if page.Oldest() > s.State().Offset()+1 {
		return s.adoptSnapshot(ctx)
	}
	entries := make([]entry, 0, len(page.Entries()))
	for _, e := range page.Entries() {
		entries = append(entries, entry{e.Offset(), string(e.Data())})
	}
	if err := s.applyAll(ctx, entries); err != nil {
		return err
	}
	if s.State().Offset()+1 >= page.Next() {
		s.recordLogEnd(time.Now(), pauses)
	}
	return nil
}

func (s *Service) recordLogCall(ctx context.Context, err error) {
	if ctx.Err() != nil || !s.freshness.setLogDown(err != nil) {
		return
	}
	eventName := "log-back"
	if err != nil {
		eventName = "log-down"
	}
	klog.InfoS(eventName, "offset", s.State().Offset())
	s.process.Events().Add(eventName, event.Fields{})
}

// adoptSnapshot adopts a snapshot, because the log has discarded the next entry.
func (s *Service) adoptSnapshot(ctx context.Context) error {
	if err := s.adoptLoggedSnapshot(ctx); err == nil {
		return nil
	}
	for _, m := range s.view().Rank("", pollerKey) {
		if !m.IsSelf() && m.Offset() > s.State().Offset() && s.adoptPeerState(ctx, m) == nil {
			return nil
		}
	}
	return errEntryDiscarded
}

func (s *Service) adoptLoggedSnapshot(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
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
	return errEntryDiscarded
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

// readPeer applies entries from another gate and reports whether that gate had read up to the log's end recently.
func (s *Service) readPeer(ctx context.Context, m peers.Member, wait time.Duration) bool {
	callCtx, cancel := context.WithTimeout(ctx, wait+callMargin)
	defer cancel()
	pauses := s.process.Timers().Pauses()
	var answer readAnswerWire
	params := readWire{s.State().Offset() + 1, maxReadEntries, wait.Milliseconds()}
	if err := s.peers.Call(callCtx, m.Address(), methodRead, params, &answer); err != nil {
		return false
	}
	if err := s.applyAnswer(ctx, m, answer); err != nil {
		klog.V(1).InfoS("peer-read-failed", "gate", m.Name(), "error", err.Error())
		return false
	}
	if s.State().Offset()+1 >= answer.Next && answer.StalenessMs < neverSeenMs {
		s.recordLogEnd(time.Now().Add(-time.Duration(answer.StalenessMs)*time.Millisecond), pauses)
	}
	return answer.StalenessMs <= (pollWait + freshnessMargin).Milliseconds()
}

func (s *Service) applyAnswer(ctx context.Context, m peers.Member, answer readAnswerWire) error {
	if answer.Oldest > s.State().Offset()+1 {
		return s.adoptPeerState(ctx, m)
	}
	return s.applyAll(ctx, answer.Entries)
}

func (s *Service) adoptPeerState(ctx context.Context, m peers.Member) error {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	var answer snapshotAnswerWire
	if err := s.peers.Call(ctx, m.Address(), methodSnapshot, struct{}{}, &answer); err != nil {
		return err
	}
	return s.adopt(ctx, answer.State)
}

func (s *Service) registerHandlers() {
	s.peers.Handle(methodRead, s.handleRead)
	s.peers.Handle(methodSnapshot, s.handleSnapshot)
	s.peers.Handle(methodAppend, s.handleAppend)
	s.peers.Handle(methodWithdraw, s.handleWithdraw)
	s.peers.Handle(methodWithdrawn, s.handleWithdrawn)
	s.peers.Handle(methodInForce, s.handleInForce)
}

func (s *Service) handleRead(ctx context.Context, raw json.RawMessage) (any, error) {
	var w readWire
	if err := json.Unmarshal(raw, &w); err != nil {
		return nil, err
	}
	wait := min(time.Duration(w.WaitMs)*time.Millisecond, pollWait)
	found, oldest, next := s.tail.await(ctx, w.From, min(w.Max, maxReadEntries), wait)
	return readAnswerWire{oldest, next, s.StalenessMs(), found}, nil
}

func (s *Service) handleSnapshot(ctx context.Context, _ json.RawMessage) (any, error) {
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
