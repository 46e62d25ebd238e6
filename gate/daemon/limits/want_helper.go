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
	leastWantPause = 20 * time.Millisecond
	mostWantPause  = 640 * time.Millisecond
)

// wants holds the teams that starts wait for, and when each may be asked for again.
type wants map[string]*want

type want struct {
	open  bool
	next  time.Time
	pause time.Duration
}

// note opens a want and tells whether it is new.
func (w wants) note(team string) bool {
	one, ok := w[team]
	if !ok {
		w[team] = &want{open: true, pause: leastWantPause}
		return true
	}
	fresh := !one.open
	one.open = true
	return fresh
}

// due takes the open wants whose time has come and returns when the next one's comes, zero for none.
func (w wants) due(now time.Time) (teams []string, next time.Time) {
	for team, one := range w {
		switch {
		case !one.open && now.After(one.next.Add(mostWantPause)):
			delete(w, team)
		case !one.open:
		case now.Before(one.next):
			if next.IsZero() || one.next.Before(next) {
				next = one.next
			}
		default:
			one.open = false
			teams = append(teams, team)
			one.next = now.Add(one.pause)
			one.pause = min(2*one.pause, mostWantPause)
		}
	}
	slices.Sort(teams)
	return teams, next
}

func (w wants) met(team string) {
	if one, ok := w[team]; ok {
		one.pause = leastWantPause
	}
}

// reset lets every team be asked for at once, after a recount.
func (w wants) reset() {
	for _, one := range w {
		one.next, one.pause = time.Time{}, leastWantPause
	}
}

// Request asks the other gates of the data centre for spare rights of the team. It returns at once; repeated requests are rate-limited.
func (s *Service) Request(team string) {
	s.mu.Lock()
	fresh := s.wants.note(team)
	s.mu.Unlock()
	if fresh {
		signal(s.wanted)
	}
}

// trade asks for rights until the context ends.
func (s *Service) trade(ctx context.Context) {
	var next time.Time
	for ctx.Err() == nil {
		s.awaitWant(ctx, next)
		s.mu.Lock()
		var teams []string
		teams, next = s.wants.due(time.Now())
		s.mu.Unlock()
		if len(teams) > 0 {
			s.ask(ctx, teams)
		}
	}
}

func (s *Service) awaitWant(ctx context.Context, next time.Time) {
	var due <-chan time.Time
	if !next.IsZero() {
		t := time.NewTimer(time.Until(next))
		defer t.Stop()
		due = t.C
	}
	select {
	case <-ctx.Done():
	case <-s.wanted:
	case <-due:
	}
}

// ask collects spare rights of the teams from every reachable gate at once.
func (s *Service) ask(ctx context.Context, teams []string) {
	givers := s.givers()
	if len(givers) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, address := range givers {
		wg.Go(func() { s.askOne(ctx, address, teams) })
	}
	wg.Wait()
}

func (s *Service) givers() []string {
	neighbours := s.neighbours()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ledger.CanTransfer() || s.stopping {
		return nil
	}
	var out []string
	for _, n := range neighbours {
		if n.Reachable && !n.Self && slices.Contains(s.ledger.Members(), n.Incarnation) {
			out = append(out, n.Address)
		}
	}
	return out
}

func (s *Service) askOne(ctx context.Context, address string, teams []string) {
	var answer giveAnswerWire
	err := s.peers.Call(ctx, address, methodGive, giveWire{s.process.Incarnation(), teams}, &answer)
	if errors.Is(err, peers.ErrNoAnswer) {
		s.miss()
		return
	}
	s.take(answer.Transfers)
}

func (s *Service) take(transfers []rights.Transfer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range transfers {
		if !s.ledger.Accept(t) {
			s.planner.miss()
			continue
		}
		for _, c := range t.Rights() {
			s.wants.met(c.Team())
		}
	}
}
