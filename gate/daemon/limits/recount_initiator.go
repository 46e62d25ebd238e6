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
	callTimeout    = 500 * time.Millisecond
	orphansTimeout = 1500 * time.Millisecond
	tellPause      = 100 * time.Millisecond
	tellAttempts   = 3
)

var (
	errSilent      = eris.New("a gate is silent")
	errOvertaken   = eris.New("another recount is under way")
	errUnsettled   = eris.New("a gate went away just now")
	errOtherView   = eris.New("the gates have folded different limits")
	errOrphansLost = eris.New("an upstream can't be asked")
)

// recount carries one recount out; a failed one leaves rights and trade as they were.
func (s *Service) recount(ctx context.Context) {
	neighbours := s.neighbours()
	commit, orphans, err := s.tryRecount(ctx, neighbours)
	if err != nil {
		s.giveUp(ctx, neighbours, err)
		return
	}
	s.mu.Lock()
	s.planner.committed(time.Now(), orphans)
	s.mu.Unlock()
	metrics.GetOrCreateCounter(`mango_recounts_total{result="committed"}`).Inc()
	s.process.Events().Add("recount", event.Fields{})
	klog.V(1).InfoS("recount-committed", "number", commit.Epoch().Number(), "gates", len(commit.Members()), "orphans", orphans)
	s.tellAll(ctx, neighbours, methodCommit, commitWire{commit})
}

func (s *Service) giveUp(ctx context.Context, neighbours []LocalGate, reason error) {
	s.mu.Lock()
	epoch, revoke := s.ledger.AbandonRecount()
	s.planner.failed(time.Now())
	s.mu.Unlock()
	metrics.GetOrCreateCounter(`mango_recounts_total{result="failed"}`).Inc()
	klog.V(1).InfoS("recount-failed", "reason", reason.Error())
	if revoke {
		s.tellAll(ctx, neighbours, methodRevoke, revokeWire{epoch})
	}
}

func (s *Service) tryRecount(ctx context.Context, neighbours []LocalGate) (rights.Commit, bool, error) {
	if err := s.probeAll(ctx, neighbours); err != nil {
		return rights.Commit{}, false, err
	}
	roll, err := s.countAll(ctx, neighbours)
	if err != nil {
		return rights.Commit{}, false, err
	}
	orphanCtx, cancel := context.WithTimeout(ctx, orphansTimeout)
	defer cancel()
	orphans, err := s.orphans.Orphans(orphanCtx, roll)
	if err != nil {
		return rights.Commit{}, false, eris.Wrap(errOrphansLost, err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	commit, ok := s.ledger.FinishRecount(s.allotments.list(), orphans)
	if !ok {
		return rights.Commit{}, false, errOtherView
	}
	return commit, len(orphans) > 0, nil
}

// probeAll makes sure that every gate answers or refuses before an epoch stops trade.
func (s *Service) probeAll(ctx context.Context, neighbours []LocalGate) error {
	addresses, own := addressesOf(neighbours)
	failures := make([]error, len(addresses))
	s.inParallel(ctx, addresses, func(ctx context.Context, i int) {
		if addresses[i] != own {
			failures[i] = s.peers.Call(ctx, addresses[i], methodProbe, probeWire{}, nil)
		}
	})
	for _, err := range failures {
		if err != nil && !errors.Is(err, peers.ErrRefused) {
			return errSilent
		}
	}
	return nil
}

// countAll asks every address until each is counted, and returns the counted incarnations.
func (s *Service) countAll(ctx context.Context, neighbours []LocalGate) ([]string, error) {
	s.mu.Lock()
	s.follow()
	before := s.ledger.Members()
	addresses, own := addressesOf(neighbours)
	query := s.ledger.BeginRecount(addresses, own)
	s.planner.count()
	missing := s.ledger.PendingAddresses()
	s.mu.Unlock()
	for len(missing) > 0 {
		left, err := s.countMissing(ctx, query, missing)
		if err != nil {
			return nil, err
		}
		missing = left
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	roll, whole := s.ledger.CountedMembers()
	if !whole {
		return nil, errOvertaken
	}
	if !s.planner.settledWithout(missingFrom(roll, before), time.Now()) {
		return nil, errUnsettled
	}
	return roll, nil
}

func missingFrom(roll, before []string) []string {
	return slices.DeleteFunc(slices.Clone(before), func(incarnation string) bool {
		return slices.Contains(roll, incarnation)
	})
}

func (s *Service) countMissing(ctx context.Context, query rights.Query, missing []string) ([]string, error) {
	answers := make([]reportAnswerWire, len(missing))
	failures := make([]error, len(missing))
	s.inParallel(ctx, missing, func(ctx context.Context, i int) {
		failures[i] = s.peers.Call(ctx, missing[i], methodReport, reportWire{query}, &answers[i])
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, address := range missing {
		switch {
		case errors.Is(failures[i], peers.ErrRefused):
			s.ledger.RecordAbsence(address)
		case failures[i] != nil:
			return nil, errSilent
		case answers[i].Report == nil:
			s.ledger.RecordRefusal(answers[i].Epoch)
			return nil, errOvertaken
		default:
			s.ledger.RecordReport(address, *answers[i].Report)
		}
	}
	return s.ledger.PendingAddresses(), nil
}

func (s *Service) inParallel(ctx context.Context, addresses []string, call func(ctx context.Context, i int)) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for i := range addresses {
		wg.Go(func() { call(ctx, i) })
	}
	wg.Wait()
}

// tellAll sends a message to every other gate, again where no answer comes.
func (s *Service) tellAll(ctx context.Context, neighbours []LocalGate, method string, message any) {
	left, own := addressesOf(neighbours)
	left = slices.DeleteFunc(left, func(address string) bool { return address == own })
	for attempt := 0; attempt < tellAttempts && len(left) > 0 && ctx.Err() == nil; attempt++ {
		if attempt > 0 {
			pause(ctx, tellPause)
		}
		left = s.tellOnce(ctx, left, method, message)
	}
}

func (s *Service) tellOnce(ctx context.Context, addresses []string, method string, message any) []string {
	silent := make([]bool, len(addresses))
	s.inParallel(ctx, addresses, func(ctx context.Context, i int) {
		err := s.peers.Call(ctx, addresses[i], method, message, nil)
		silent[i] = errors.Is(err, peers.ErrNoAnswer)
	})
	var left []string
	for i, address := range addresses {
		if silent[i] {
			left = append(left, address)
		}
	}
	return left
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
