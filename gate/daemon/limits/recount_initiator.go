package limits

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"mangowing/core/event"
	"mangowing/core/rights"
	"mangowing/gate/peers"
)

const (
	callTimeout         = 500 * time.Millisecond
	orphansTimeout      = 1500 * time.Millisecond
	broadcastRetryDelay = 100 * time.Millisecond
	broadcastAttempts   = 3
)

var (
	errUnresponsive   = eris.New("a gate does not answer")
	errSuperseded     = eris.New("another recount is in progress")
	errNotSettled     = eris.New("a gate ended less than the settle time ago")
	errLimitsDiffer   = eris.New("the gates have folded different limits")
	errOrphansUnknown = eris.New("cannot read an upstream's running work")
)

// recount attempts one recount. If it fails, all gates keep their rights and may transfer them as before.
func (s *Service) recount(ctx context.Context) {
	gates := s.localGates()
	commit, orphans, err := s.tryRecount(ctx, gates)
	if err != nil {
		s.failRecount(ctx, gates, err)
		return
	}
	s.mu.Lock()
	s.planner.recordCommit(time.Now(), orphans)
	s.mu.Unlock()
	metrics.GetOrCreateCounter(`mango_recounts_total{result="committed"}`).Inc()
	s.process.Events().Add("recount", event.Fields{})
	klog.V(1).InfoS("recount-committed", "number", commit.Epoch().Number(), "gates", len(commit.Members()), "orphans", orphans)
	s.broadcast(ctx, gates, methodCommit, commitWire{commit})
}

func (s *Service) failRecount(ctx context.Context, gates []LocalGate, reason error) {
	s.mu.Lock()
	epoch, revoke := s.ledger.AbandonRecount()
	s.planner.recordFailure(time.Now())
	s.mu.Unlock()
	metrics.GetOrCreateCounter(`mango_recounts_total{result="failed"}`).Inc()
	klog.V(1).InfoS("recount-failed", "reason", reason.Error())
	if revoke {
		s.broadcast(ctx, gates, methodRevoke, revokeWire{epoch})
	}
}

func (s *Service) tryRecount(ctx context.Context, gates []LocalGate) (rights.Commit, bool, error) {
	if err := s.probeAll(ctx, gates); err != nil {
		return rights.Commit{}, false, err
	}
	counted, err := s.collectReports(ctx, gates)
	if err != nil {
		return rights.Commit{}, false, err
	}
	orphanCtx, cancel := context.WithTimeout(ctx, orphansTimeout)
	defer cancel()
	orphans, err := s.orphans.Orphans(orphanCtx, counted)
	if err != nil {
		return rights.Commit{}, false, eris.Wrap(errOrphansUnknown, err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	commit, ok := s.ledger.FinishRecount(s.allotments.counts(), orphans)
	if !ok {
		return rights.Commit{}, false, errLimitsDiffer
	}
	return commit, len(orphans) > 0, nil
}

// probeAll checks that every gate answers or refuses connections. It runs before the new epoch, which stops transfers
// until the recount is committed or revoked.
func (s *Service) probeAll(ctx context.Context, gates []LocalGate) error {
	addresses, ownAddress := addressesOf(gates)
	failures := make([]error, len(addresses))
	s.callEach(ctx, addresses, func(ctx context.Context, i int) {
		if addresses[i] != ownAddress {
			failures[i] = s.peers.Call(ctx, addresses[i], methodProbe, probeWire{}, nil)
		}
	})
	for _, err := range failures {
		if err != nil && !errors.Is(err, peers.ErrRefused) {
			return errUnresponsive
		}
	}
	return nil
}

// collectReports queries every address until each has reported or refused, and returns the counted incarnations.
func (s *Service) collectReports(ctx context.Context, gates []LocalGate) ([]string, error) {
	s.mu.Lock()
	s.applyState()
	before := s.ledger.Members()
	addresses, ownAddress := addressesOf(gates)
	query := s.ledger.BeginRecount(addresses, ownAddress)
	s.planner.recordCount()
	missing := s.ledger.PendingAddresses()
	s.mu.Unlock()
	for len(missing) > 0 {
		left, err := s.collectMissingReports(ctx, query, missing)
		if err != nil {
			return nil, err
		}
		missing = left
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	counted, isComplete := s.ledger.CountedMembers()
	if !isComplete {
		return nil, errSuperseded
	}
	if !s.planner.recordGone(absentMembers(counted, before), time.Now()) {
		return nil, errNotSettled
	}
	return counted, nil
}

func absentMembers(counted, before []string) []string {
	return slices.DeleteFunc(slices.Clone(before), func(incarnation string) bool {
		return slices.Contains(counted, incarnation)
	})
}

func (s *Service) collectMissingReports(ctx context.Context, query rights.Query, missing []string) ([]string, error) {
	answers := make([]reportAnswerWire, len(missing))
	failures := make([]error, len(missing))
	s.callEach(ctx, missing, func(ctx context.Context, i int) {
		failures[i] = s.peers.Call(ctx, missing[i], methodReport, reportWire{query}, &answers[i])
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, address := range missing {
		switch {
		case errors.Is(failures[i], peers.ErrRefused):
			s.ledger.RecordAbsence(address)
		case failures[i] != nil:
			return nil, errUnresponsive
		case answers[i].Report == nil:
			s.ledger.RecordRefusal(answers[i].Epoch)
			return nil, errSuperseded
		default:
			s.ledger.RecordReport(address, *answers[i].Report)
		}
	}
	return s.ledger.PendingAddresses(), nil
}

func (s *Service) callEach(ctx context.Context, addresses []string, call func(ctx context.Context, i int)) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for i := range addresses {
		wg.Go(func() { call(ctx, i) })
	}
	wg.Wait()
}

// broadcast sends a message to every other gate and retries those that do not answer.
func (s *Service) broadcast(ctx context.Context, gates []LocalGate, method string, message any) {
	pending, ownAddress := addressesOf(gates)
	pending = slices.DeleteFunc(pending, func(address string) bool { return address == ownAddress })
	for attempt := 0; attempt < broadcastAttempts && len(pending) > 0 && ctx.Err() == nil; attempt++ {
		if attempt > 0 {
			sleep(ctx, broadcastRetryDelay)
		}
		pending = s.sendToEach(ctx, pending, method, message)
	}
}

func (s *Service) sendToEach(ctx context.Context, addresses []string, method string, message any) []string {
	unanswered := make([]bool, len(addresses))
	s.callEach(ctx, addresses, func(ctx context.Context, i int) {
		err := s.peers.Call(ctx, addresses[i], method, message, nil)
		unanswered[i] = errors.Is(err, peers.ErrNoAnswer)
	})
	var left []string
	for i, address := range addresses {
		if unanswered[i] {
			left = append(left, address)
		}
	}
	return left
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
