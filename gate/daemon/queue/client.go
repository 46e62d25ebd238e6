package queue

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"mangowing/core/codes"
	"mangowing/gate/peers"
)

const (
	lostPause      = 50 * time.Millisecond
	viewCheck      = 250 * time.Millisecond
	releaseTimeout = 2 * time.Second
	releasePause   = 500 * time.Millisecond
	leastWait      = 5 * time.Millisecond
	viewLag        = 2 * time.Second
)

// search is one request's way to a grant.
type search struct {
	service *Service
	ask     askWire
	begun   time.Time
	tries   int
	moveTo  string // the data centre whose dispatcher is to be asked next, empty for any
}

// next returns the ask of one more try. Its id is new, so that giving back an earlier try can't end a later grant.
func (q *search) next(immediate bool) askWire {
	q.tries++
	ask := q.ask
	if q.tries > 1 {
		ask.Request += "." + strconv.Itoa(q.tries)
	}
	ask.Immediate = immediate
	ask.AgeMs = time.Since(q.begun).Milliseconds()
	return ask
}

// directed returns the dispatcher that an earlier one sent the request to, if it may grant.
func (q *search) directed(sites []peers.Member) (peers.Member, bool) {
	to := q.moveTo
	q.moveTo = ""
	for _, site := range sites {
		if site.DataCentre() == to {
			return site, true
		}
	}
	return peers.Member{}, false
}

// Acquire asks for a grant: at once in any data centre that serves the pool, else by waiting in the one with the least
// backlog of the team. The error is a *codes.Error whose outcome is not-run.
func (s *Service) Acquire(ctx context.Context, ask Ask) (Grant, error) {
	q := &search{service: s, ask: ask.w, begun: time.Now()}
	deadline := q.begun.Add(time.Duration(ask.w.WaitMs) * time.Millisecond)
	for {
		left := time.Until(deadline)
		if left < leastWait || ctx.Err() != nil {
			return Grant{}, lateError(ctx)
		}
		q.ask.WaitMs = left.Milliseconds()
		grant, answer := s.acquireOnce(ctx, q)
		switch {
		case answer.Granted:
			return grant, nil
		case answer.MoveTo != "":
			q.moveTo = answer.MoveTo
		case codes.Code(answer.Code) == codes.DispatcherLost || s.viewMayLag(codes.Code(answer.Code), q.begun):
			pause(ctx, lostPause)
		default:
			return Grant{}, codes.Errorf(codes.Code(answer.Code), "%s", answer.Detail)
		}
	}
}

// viewMayLag tells whether a missing dispatcher may only mean that a replaced gate was not heard of yet.
func (s *Service) viewMayLag(code codes.Code, begun time.Time) bool {
	return code == codes.LimitHeldElsewhere && time.Since(begun) < viewLag
}

func lateError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return codes.Errorf(codes.CallerLeft, "")
	}
	return codes.Errorf(codes.DeadlineUnmeetable, "no dispatcher answered in time")
}

func (s *Service) acquireOnce(ctx context.Context, q *search) (Grant, answerWire) {
	sites, answer := s.sites(q.ask)
	if len(sites) == 0 {
		return Grant{}, answer
	}
	if site, ok := q.directed(sites); ok {
		return s.askDirected(ctx, site, q)
	}
	if len(sites) == 1 {
		return s.askAt(ctx, sites[0], q.next(false))
	}
	best, bestBacklog := sites[0], int64(-1)
	for _, site := range sites {
		grant, answer := s.askAt(ctx, site, q.next(true))
		if answer.Granted {
			return grant, answer
		}
		lost := codes.Code(answer.Code) == codes.DispatcherLost
		if !lost && (bestBacklog < 0 || answer.BacklogMs < bestBacklog) {
			best, bestBacklog = site, answer.BacklogMs
		}
	}
	return s.askAt(ctx, best, q.next(false))
}

// askDirected asks where another dispatcher sent the request; a refusal there only means that it must look again.
func (s *Service) askDirected(ctx context.Context, site peers.Member, q *search) (Grant, answerWire) {
	grant, answer := s.askAt(ctx, site, q.next(false))
	if !answer.Granted {
		answer.Code = uint16(codes.DispatcherLost)
	}
	return grant, answer
}

// sites returns the dispatchers of the pool that may grant: this data centre's first, then the others that hold a
// part of the team's limit and have a serving VM.
func (s *Service) sites(ask askWire) ([]peers.Member, answerWire) {
	view := s.members.View()
	own := s.members.Self().DataCentre()
	place := s.placements.load()
	centres := view.DataCentres()
	slices.SortStableFunc(centres, func(a, b string) int { return rankOf(a, own) - rankOf(b, own) })
	var out []peers.Member
	serving, allotted, reachable := false, false, false
	for _, centre := range centres {
		if len(place.targets(ask.Pool, centre)) == 0 {
			continue
		}
		serving = true
		if s.states.State().Allotment(ask.Team, centre) <= 0 {
			continue
		}
		allotted = true
		if m, ok := view.Pick(centre, poolRole(ask.Pool)); ok {
			reachable = true
			out = append(out, m)
		}
	}
	return out, refuseSites(serving, allotted, reachable)
}

func rankOf(dataCentre, own string) int {
	if dataCentre == own {
		return 0
	}
	return 1
}

func refuseSites(serving, allotted, reachable bool) answerWire {
	switch {
	case !serving:
		return refusal(codes.NoUpstream, "no VM serves the pool")
	case !allotted:
		return refusal(codes.TeamLimit, "the team's limit allows none where the pool is served")
	case !reachable:
		return refusal(codes.LimitHeldElsewhere, "no gate of the data centre that holds the limit can be reached")
	default:
		return answerWire{}
	}
}

func (s *Service) askAt(ctx context.Context, site peers.Member, ask askWire) (Grant, answerWire) {
	started := time.Now()
	answer, err := s.callAsk(ctx, site, ask)
	if err != nil {
		s.abandon(site, ask)
		return Grant{}, refusal(codes.DispatcherLost, err.Error())
	}
	if !answer.Granted {
		return Grant{}, answer
	}
	// The dispatcher granted at the earliest its own waiting time after the ask was sent.
	granted := started.Add(time.Duration(answer.WaitedMs) * time.Millisecond)
	grant := NewGrant(Ask{ask}, answer.VM, answer.Address, granted.Add(StartWindow))
	grant.dispatcher = answer.Dispatcher
	grant.peer = site.Address()
	return grant, answer
}

func (s *Service) callAsk(ctx context.Context, site peers.Member, ask askWire) (answerWire, error) {
	if site.IsSelf() {
		return s.ask(ctx, ask), nil
	}
	callCtx, cancel := context.WithTimeout(ctx, time.Duration(ask.WaitMs)*time.Millisecond+2*askMargin)
	defer cancel()
	var answer answerWire
	done := make(chan error, 1)
	go func() { done <- s.peers.Call(callCtx, site.Address(), methodAsk, ask, &answer) }()
	for {
		check := time.NewTimer(viewCheck)
		select {
		case err := <-done:
			check.Stop()
			return answer, err
		case <-check.C:
			if s.lost(site) {
				cancel()
				return answerWire{}, errors.Join(<-done, peers.ErrNoAnswer)
			}
		}
	}
}

// lost tells whether the dispatcher that was asked can no longer be counted on to answer.
func (s *Service) lost(site peers.Member) bool {
	view := s.members.View()
	for _, m := range view.Members() {
		if m.Name() == site.Name() {
			return !view.IsReachable(m) || m.Incarnation() != site.Incarnation()
		}
	}
	return true
}

// abandon gives back a grant that may have been made but whose answer did not arrive.
func (s *Service) abandon(site peers.Member, ask askWire) {
	if site.IsSelf() {
		return
	}
	go s.releaseAt(site.Address(), site.Incarnation(), releaseWire{ask.Pool, ask.Request, ResultNotStarted, 0})
}

// Release ends a grant; it tries until the dispatcher took it or certainly ended.
func (s *Service) Release(g Grant, result Result, took time.Duration) {
	w := releaseWire{g.pool, g.request, result, took.Milliseconds()}
	if g.dispatcher == s.process.Incarnation() {
		s.release(w)
		return
	}
	go s.releaseAt(g.peer, g.dispatcher, w)
}

func (s *Service) releaseAt(address, incarnation string, w releaseWire) {
	for !s.ended(address, incarnation) {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		err := s.peers.Call(ctx, address, methodRelease, w, nil)
		cancel()
		if err == nil || refusedConnection(err) {
			return
		}
		klog.V(1).InfoS("release-failed", "request", w.Request, "error", err.Error())
		time.Sleep(releasePause)
	}
}

func refusedConnection(err error) bool { return errors.Is(err, peers.ErrRefused) }

func (s *Service) ended(address, incarnation string) bool {
	for _, m := range s.members.View().Members() {
		if m.Address() == address {
			return m.IsRefusing() || m.Incarnation() != incarnation
		}
	}
	return true
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
