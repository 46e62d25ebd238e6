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
	lostRetryDelay    = 50 * time.Millisecond
	viewCheckPeriod   = 250 * time.Millisecond
	releaseTimeout    = 2 * time.Second
	releaseRetryDelay = 500 * time.Millisecond
	minWait           = 5 * time.Millisecond
	maxViewLag        = 2 * time.Second
)

// acquisition is the state of one Acquire call.
type acquisition struct {
	service    *Service
	ask        askWire
	startedAt  time.Time
	attempts   int
	redirectTo string // data centre to ask next, empty for any
}

// nextAsk returns the ask for a new attempt. Each attempt has its own id, so that releasing an earlier one can't end a
// later grant.
func (q *acquisition) nextAsk(immediate bool) askWire {
	q.attempts++
	ask := q.ask
	if q.attempts > 1 {
		ask.Request += "." + strconv.Itoa(q.attempts)
	}
	ask.Immediate = immediate
	ask.AgeMs = time.Since(q.startedAt).Milliseconds()
	return ask
}

// takeRedirect clears the redirect and returns the dispatcher that it names, if that is one of the sites.
func (q *acquisition) takeRedirect(sites []peers.Member) (peers.Member, bool) {
	to := q.redirectTo
	q.redirectTo = ""
	for _, site := range sites {
		if site.DataCentre() == to {
			return site, true
		}
	}
	return peers.Member{}, false
}

// Acquire returns a grant for the request. If several data centres serve the pool it first asks each for an immediate
// grant, then waits in the one with the team's smallest backlog. The error is a *codes.Error with the outcome not-run.
func (s *Service) Acquire(ctx context.Context, ask Ask) (Grant, error) {
	q := &acquisition{service: s, ask: ask.w, startedAt: time.Now()}
	deadline := q.startedAt.Add(time.Duration(ask.w.WaitMs) * time.Millisecond)
	for {
		remaining := time.Until(deadline)
		if remaining < minWait || ctx.Err() != nil {
			return Grant{}, timeoutError(ctx)
		}
		q.ask.WaitMs = remaining.Milliseconds()
		grant, answer := s.acquireOnce(ctx, q)
		switch {
		case answer.Granted:
			return grant, nil
		case answer.MoveTo != "":
			q.redirectTo = answer.MoveTo
		case codes.Code(answer.Code) == codes.DispatcherLost || s.isPossibleViewLag(codes.Code(answer.Code), q.startedAt):
			sleep(ctx, lostRetryDelay)
		default:
			return Grant{}, codes.Errorf(codes.Code(answer.Code), "%s", answer.Detail)
		}
	}
}

// isPossibleViewLag reports whether the dispatcher may be missing only because the membership view does not have a
// replaced gate yet.
func (s *Service) isPossibleViewLag(code codes.Code, startedAt time.Time) bool {
	return code == codes.LimitHeldElsewhere && time.Since(startedAt) < maxViewLag
}

func timeoutError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return codes.Errorf(codes.CallerLeft, "")
	}
	return codes.Errorf(codes.DeadlineUnmeetable, "no dispatcher answered in time")
}

func (s *Service) acquireOnce(ctx context.Context, q *acquisition) (Grant, answerWire) {
	sites, answer := s.dispatchSites(q.ask)
	if len(sites) == 0 {
		return Grant{}, answer
	}
	if site, ok := q.takeRedirect(sites); ok {
		return s.askRedirected(ctx, site, q)
	}
	if len(sites) == 1 {
		return s.askSite(ctx, sites[0], q.nextAsk(false))
	}
	best, bestBacklog := sites[0], int64(-1)
	for _, site := range sites {
		grant, answer := s.askSite(ctx, site, q.nextAsk(true))
		if answer.Granted {
			return grant, answer
		}
		lost := codes.Code(answer.Code) == codes.DispatcherLost
		if !lost && (bestBacklog < 0 || answer.BacklogMs < bestBacklog) {
			best, bestBacklog = site, answer.BacklogMs
		}
	}
	return s.askSite(ctx, best, q.nextAsk(false))
}

// askRedirected asks the dispatcher that another one named. A refusal there is reported as DispatcherLost, so that the
// caller tries all sites again.
func (s *Service) askRedirected(ctx context.Context, site peers.Member, q *acquisition) (Grant, answerWire) {
	grant, answer := s.askSite(ctx, site, q.nextAsk(false))
	if !answer.Granted {
		answer.Code = uint16(codes.DispatcherLost)
	}
	return grant, answer
}

// dispatchSites returns the pool's dispatchers in data centres that have a serving VM and a part of the team's limit, this
// data centre's first.
func (s *Service) dispatchSites(ask askWire) ([]peers.Member, answerWire) {
	view := s.members.View()
	ownCentre := s.members.Self().DataCentre()
	index := s.indexes.load()
	centres := view.DataCentres()
	slices.SortStableFunc(centres, func(a, b string) int { return centreRank(a, ownCentre) - centreRank(b, ownCentre) })
	var out []peers.Member
	serving, allotted, reachable := false, false, false
	for _, centre := range centres {
		if len(index.targets(ask.Pool, centre)) == 0 {
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
	return out, noSiteAnswer(serving, allotted, reachable)
}

func centreRank(dataCentre, ownCentre string) int {
	if dataCentre == ownCentre {
		return 0
	}
	return 1
}

func noSiteAnswer(serving, allotted, reachable bool) answerWire {
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

func (s *Service) askSite(ctx context.Context, site peers.Member, ask askWire) (Grant, answerWire) {
	started := time.Now()
	answer, err := s.callAsk(ctx, site, ask)
	if err != nil {
		s.releaseUnanswered(site, ask)
		return Grant{}, refusal(codes.DispatcherLost, err.Error())
	}
	if !answer.Granted {
		return Grant{}, answer
	}
	// A lower bound of the moment of the grant: the ask was sent at started, and waited WaitedMs at the dispatcher.
	granted := started.Add(time.Duration(answer.WaitedMs) * time.Millisecond)
	grant := NewGrant(Ask{ask}, answer.VM, answer.Address, granted.Add(StartWindow))
	grant.dispatcher = answer.Dispatcher
	grant.peer = site.Address()
	return grant, answer
}

func (s *Service) callAsk(ctx context.Context, site peers.Member, ask askWire) (answerWire, error) {
	if site.IsSelf() {
		return s.enqueueAndWait(ctx, ask), nil
	}
	callCtx, cancel := context.WithTimeout(ctx, time.Duration(ask.WaitMs)*time.Millisecond+2*askMargin)
	defer cancel()
	var answer answerWire
	done := make(chan error, 1)
	go func() { done <- s.peers.Call(callCtx, site.Address(), methodAsk, ask, &answer) }()
	for {
		check := time.NewTimer(viewCheckPeriod)
		select {
		case err := <-done:
			check.Stop()
			return answer, err
		case <-check.C:
			if s.isLost(site) {
				cancel()
				return answerWire{}, errors.Join(<-done, peers.ErrNoAnswer)
			}
		}
	}
}

// isLost reports whether the dispatcher is unreachable or was restarted, so that no answer is to be expected.
func (s *Service) isLost(site peers.Member) bool {
	view := s.members.View()
	for _, m := range view.Members() {
		if m.Name() == site.Name() {
			return !view.IsReachable(m) || m.Incarnation() != site.Incarnation()
		}
	}
	return true
}

// releaseUnanswered releases a grant that may have been made although no answer arrived.
func (s *Service) releaseUnanswered(site peers.Member, ask askWire) {
	if site.IsSelf() {
		return
	}
	go s.releaseAt(site.Address(), site.Incarnation(), releaseWire{ask.Pool, ask.Request, ResultNotStarted, 0})
}

// Release ends a grant. A release to another gate is retried in the background until its dispatcher has received it or
// is known to have ended.
func (s *Service) Release(g Grant, result Result, took time.Duration) {
	w := releaseWire{g.pool, g.request, result, took.Milliseconds()}
	if g.dispatcher == s.process.Incarnation() {
		s.release(w)
		return
	}
	go s.releaseAt(g.peer, g.dispatcher, w)
}

func (s *Service) releaseAt(address, incarnation string, w releaseWire) {
	for !s.hasEnded(address, incarnation) {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		err := s.peers.Call(ctx, address, methodRelease, w, nil)
		cancel()
		if err == nil || isConnectionRefused(err) {
			return
		}
		klog.V(1).InfoS("release-failed", "request", w.Request, "error", err.Error())
		time.Sleep(releaseRetryDelay)
	}
}

func isConnectionRefused(err error) bool { return errors.Is(err, peers.ErrRefused) }

func (s *Service) hasEnded(address, incarnation string) bool {
	for _, m := range s.members.View().Members() {
		if m.Address() == address {
			return m.IsRefusing() || m.Incarnation() != incarnation
		}
	}
	return true
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
