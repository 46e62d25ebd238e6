package state

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"mangowing/core/event"
	"mangowing/core/record"
	"mangowing/gate/peers"
)

const (
	methodWithdraw  = "state/withdraw"
	methodWithdrawn = "state/withdrawn"

	gossipTimeout = time.Second
	persistPeriod = time.Second
)

type hashesWire struct {
	Hashes []string `json:"hashes"`
}

// withdrawals is the grow-only set of withdrawn keys that operators and other gates reported to this gate, independently of
// the log.
type withdrawals struct {
	set    atomic.Pointer[map[string]bool]
	mu     sync.Mutex
	digest atomic.Uint64
}

func (w *withdrawals) has(hash string) bool {
	set := w.set.Load()
	return set != nil && (*set)[hash]
}

func (w *withdrawals) list() []string {
	set := w.set.Load()
	if set == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(*set))
}

func (w *withdrawals) add(hashes []string) (changed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := map[string]bool{}
	if old := w.set.Load(); old != nil {
		maps.Copy(next, *old)
	}
	digest := w.digest.Load()
	for _, h := range hashes {
		if !next[h] {
			next[h] = true
			digest ^= xxhash.Sum64String(h)
			changed = true
		}
	}
	w.set.Store(&next)
	w.digest.Store(digest)
	return changed
}

// IsWithdrawn reports whether the key with the hash was withdrawn, according to the log or to a call that is not in the
// log yet.
func (s *Service) IsWithdrawn(hash string) bool {
	if s.withdrawn.has(hash) {
		return true
	}
	k, ok := s.State().Key(hash)
	return ok && k.IsWithdrawn()
}

// WithdrawnDigest returns the digest of the withdrawn keys that heartbeats carry.
func (s *Service) WithdrawnDigest() uint64 { return s.withdrawn.digest.Load() }

// Withdraw withdraws the key here at once and at every gate that can be reached. PersistWithdrawals appends the withdrawal
// to the log as soon as the log is reachable.
func (s *Service) Withdraw(ctx context.Context, hash string) {
	s.addWithdrawn([]string{hash})
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	var wg sync.WaitGroup
	view := s.view()
	for _, m := range view.Members() {
		if m.IsSelf() || m.IsRefusing() {
			continue
		}
		wg.Go(func() {
			_ = s.peers.Call(ctx, m.Address(), methodWithdraw, hashesWire{[]string{hash}}, nil)
		})
	}
	wg.Wait()
}

// SyncWithdrawals fetches another gate's withdrawals if the digest in its heartbeat differs from this gate's.
func (s *Service) SyncWithdrawals(m peers.Member, digest uint64) {
	if digest == 0 || digest == s.WithdrawnDigest() {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), gossipTimeout)
		defer cancel()
		var answer hashesWire
		if err := s.peers.Call(ctx, m.Address(), methodWithdrawn, struct{}{}, &answer); err == nil {
			s.addWithdrawn(answer.Hashes)
		}
	}()
}

func (s *Service) addWithdrawn(hashes []string) {
	if s.withdrawn.add(hashes) {
		s.process.Events().Add("key-withdrawn", event.Fields{})
	}
}

func (s *Service) handleWithdraw(_ context.Context, raw json.RawMessage) (any, error) {
	var w hashesWire
	if err := json.Unmarshal(raw, &w); err != nil {
		return nil, err
	}
	s.addWithdrawn(w.Hashes)
	return struct{}{}, nil
}

func (s *Service) handleWithdrawn(context.Context, json.RawMessage) (any, error) {
	return hashesWire{s.withdrawn.list()}, nil
}

// PersistWithdrawals appends withdrawals that are not in the log yet, until the context ends. Several gates may append the
// same one: the record's id is derived from the key, so the fold ignores repeats.
func (s *Service) PersistWithdrawals(ctx context.Context) error {
	return s.process.Timers().RunEvery(ctx, persistPeriod, s.persistOnce)
}

func (s *Service) persistOnce(ctx context.Context) {
	writer, ok := s.view().Pick("", pollerKey)
	if ok && !writer.IsSelf() && s.IsLogReachable() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	var records []record.Record
	for _, hash := range s.withdrawn.list() {
		if k, known := s.State().Key(hash); !known || !k.IsWithdrawn() {
			id := "withdraw-" + hash
			records = append(records, record.NewWithID(id, s.process.Incarnation(), s.process.NowMs(), record.NewKeyWithdraw(hash)))
		}
	}
	if len(records) > 0 {
		_, _ = s.Append(ctx, records)
	}
}
