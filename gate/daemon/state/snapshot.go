package state

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"mangowing/core/event"
	"mangowing/core/record"
)

const (
	snapshotCheckPeriod = 2 * time.Second
	snapshotKey         = "snapshot-writer"
)

// snapshotProgress holds the offset and time of the last snapshot that this gate wrote.
type snapshotProgress struct {
	mu      sync.Mutex
	covered uint64
	at      time.Time
}

// WriteSnapshots appends a snapshot of the state each time enough entries were folded or enough time has passed, until
// the context ends. One gate writes the snapshots; if two gates pick themselves at the same time, both write one, which
// does no harm.
func (s *Service) WriteSnapshots(ctx context.Context) error {
	return s.process.Timers().RunEvery(ctx, snapshotCheckPeriod, s.snapshotIfDue)
}

func (s *Service) snapshotIfDue(ctx context.Context) {
	writer, ok := s.view().Pick("", snapshotKey)
	if !ok || !writer.IsSelf() || !s.snapshotDue() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	if err := s.writeSnapshot(ctx); err != nil {
		klog.V(1).InfoS("snapshot-failed", "error", err.Error())
	}
}

func (s *Service) snapshotDue() bool {
	s.snapshots.mu.Lock()
	defer s.snapshots.mu.Unlock()
	offset := s.State().Offset()
	if offset == 0 {
		return false
	}
	enough := offset >= s.snapshots.covered+uint64(s.options.SnapshotEvery)
	old := time.Since(s.snapshots.at) > s.options.SnapshotMaxAge
	return enough || old
}

func (s *Service) writeSnapshot(ctx context.Context) error {
	e, err := s.encode(ctx)
	if err != nil {
		return err
	}
	data, err := record.EncodeBatch([]record.Record{s.newRecord(record.NewSnapshot(e.offset, e.raw))})
	if err != nil {
		return err
	}
	if _, err := s.log.Append(ctx, StreamSnapshot, data); err != nil {
		return err
	}
	s.snapshots.mu.Lock()
	s.snapshots.covered, s.snapshots.at = e.offset, time.Now()
	s.snapshots.mu.Unlock()
	klog.InfoS("snapshot-written", "offset", e.offset, "bytes", len(e.raw))
	s.process.Events().Add("snapshot-written", event.Fields{})
	return nil
}
