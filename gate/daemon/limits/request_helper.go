package limits

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"mangowing/core/rights"
	"mangowing/gate/peers"
)

const (
	minRequestDelay = 20 * time.Millisecond
	maxRequestDelay = 640 * time.Millisecond
)

// requestBook holds, for each team that lacks rights here, when they may be requested again.
type requestBook map[string]*rightRequest

type rightRequest struct {
	open      bool
	notBefore time.Time
	delay     time.Duration
}

// add opens a request for the team and reports whether it was not open before.
func (b requestBook) add(team string) bool {
	request, ok := b[team]
	if !ok {
		b[team] = &rightRequest{open: true, delay: minRequestDelay}
		return true
	}
	isNew := !request.open
	request.open = true
	return isNew
}

// takeDue closes and returns the open requests that are due, and returns when the next one is due, zero for none.
func (b requestBook) takeDue(now time.Time) (teams []string, next time.Time) {
	for team, request := range b {
		switch {
		case !request.open && now.After(request.notBefore.Add(maxRequestDelay)):
			delete(b, team)
		case !request.open:
		case now.Before(request.notBefore):
			if next.IsZero() || request.notBefore.Before(next) {
				next = request.notBefore
			}
		default:
			request.open = false
			teams = append(teams, team)
			request.notBefore = now.Add(request.delay)
			request.delay = min(2*request.delay, maxRequestDelay)
		}
	}
	slices.Sort(teams)
	return teams, next
}

func (b requestBook) resetDelay(team string) {
	if request, ok := b[team]; ok {
		request.delay = minRequestDelay
	}
}

// resetDelays makes every team's rights requestable at once, after a recount.
func (b requestBook) resetDelays() {
	for _, request := range b {
		request.notBefore, request.delay = time.Time{}, minRequestDelay
	}
}

// Request asks the other gates of the data centre for available rights of the team. It returns at once; repeated requests
// are rate-limited.
func (s *Service) Request(team string) {
	s.mu.Lock()
	isNew := s.requests.add(team)
	s.mu.Unlock()
	if isNew {
		signal(s.requested)
	}
}

// sendRequests sends the requests that are due until the context ends.
func (s *Service) sendRequests(ctx context.Context) {
	var next time.Time
	for ctx.Err() == nil {
		s.awaitRequest(ctx, next)
		s.mu.Lock()
		var teams []string
		teams, next = s.requests.takeDue(time.Now())
		s.mu.Unlock()
		if len(teams) > 0 {
			s.requestFromAll(ctx, teams)
		}
	}
}

func (s *Service) awaitRequest(ctx context.Context, next time.Time) {
	var due <-chan time.Time
	if !next.IsZero() {
		t := time.NewTimer(time.Until(next))
		defer t.Stop()
		due = t.C
	}
	select {
	case <-ctx.Done():
	case <-s.requested:
	case <-due:
	}
}

// requestFromAll requests rights of the teams from every reachable gate in parallel.
func (s *Service) requestFromAll(ctx context.Context, teams []string) {
	givers := s.givers()
	if len(givers) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, address := range givers {
		wg.Go(func() { s.requestFrom(ctx, address, teams) })
	}
	wg.Wait()
}

func (s *Service) givers() []string {
	gates := s.localGates()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ledger.CanTransfer() || s.stopping {
		return nil
	}
	var out []string
	for _, n := range gates {
		if n.Reachable && !n.Self && slices.Contains(s.ledger.Members(), n.Incarnation) {
			out = append(out, n.Address)
		}
	}
	return out
}

func (s *Service) requestFrom(ctx context.Context, address string, teams []string) {
	var answer giveAnswerWire
	err := s.peers.Call(ctx, address, methodGive, giveWire{s.process.Incarnation(), teams}, &answer)
	if errors.Is(err, peers.ErrNoAnswer) {
		s.recordLoss()
		return
	}
	s.acceptTransfers(answer.Transfers)
}

func (s *Service) acceptTransfers(transfers []rights.Transfer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range transfers {
		if !s.ledger.Accept(t) {
			s.planner.recordLoss()
			continue
		}
		for _, c := range t.Rights() {
			s.requests.resetDelay(c.Team())
		}
	}
}
