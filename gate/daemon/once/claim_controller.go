package once

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"mangowing/core/codes"
	"mangowing/core/record"
	"mangowing/core/ticket"
	"mangowing/gate/daemon/relay"
)

const (
	methodSeen = "once/seen"

	claimTimeout = 2 * time.Second
	seenTimeout  = 500 * time.Millisecond
	foldPause    = 5 * time.Millisecond
	agreeMargin  = time.Second
	mostChecks   = 8
)

type seenWire struct {
	Team string `json:"team"`
	Key  string `json:"key"`
}

type seenAnswerWire struct {
	MayHaveRun bool  `json:"may-have-run"`
	AgeMs      int64 `json:"age-ms"`
}

// firstClaim returns the first claim on the request's key in the folded log.
func (s *Service) firstClaim(r Request) ticket.FirstClaim {
	if r.w.Ticket != "" {
		return ticket.FirstClaim{}
	}
	c, ok := s.deps.StateSource.State().Claim(r.w.Team, r.w.Key)
	if !ok {
		return ticket.FirstClaim{}
	}
	if !c.MatchesDigest(r.digest()) {
		return ticket.NewFirstClaim(c.Holder(), "")
	}
	return ticket.NewFirstClaim(c.Holder(), r.digest())
}

// claim writes a claim record; only one that is read back as the first lets this gate start the request.
func (s *Service) claim(ctx context.Context, r Request, sink relay.Sink) (Outcome, bool) {
	first, code := s.writeClaim(ctx, r)
	if code != codes.OK {
		return s.abandon(ctx, r, code), true
	}
	s.mu.Lock()
	d := s.registry.ResolveClaim(r.id(), r.digest(), first, time.Now())
	s.wake(r.id())
	s.mu.Unlock()
	if _, busy := d.(ticket.InProgress); busy {
		return Outcome{}, false
	}
	return s.act(ctx, r, d, sink)
}

// writeClaim returns the first claim on the key, or ClaimsFull or ClaimLogDown where there is none to be had.
func (s *Service) writeClaim(ctx context.Context, r Request) (ticket.FirstClaim, codes.Code) {
	self := s.deps.Process.Incarnation()
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	body := record.NewClaim(r.w.Team, r.w.Key, r.digest(), self)
	verdicts, err := s.deps.Log.Append(ctx, []record.Record{record.New(self, s.deps.Process.NowMs(), body)})
	switch {
	case err != nil || len(verdicts) != 1:
		return ticket.FirstClaim{}, codes.ClaimLogDown
	case verdicts[0].Code() == codes.OK:
		return ticket.NewFirstClaim(self, r.digest()), codes.OK
	case verdicts[0].Code() == codes.ClaimsFull:
		return ticket.FirstClaim{}, codes.ClaimsFull
	default:
		return s.awaitClaim(ctx, r)
	}
}

// awaitClaim waits for the state that has the other claim: verdicts come before the state is published.
func (s *Service) awaitClaim(ctx context.Context, r Request) (ticket.FirstClaim, codes.Code) {
	for {
		if first := s.firstClaim(r); first != (ticket.FirstClaim{}) {
			return first, codes.OK
		}
		select {
		case <-ctx.Done():
			return ticket.FirstClaim{}, codes.ClaimLogDown
		case <-time.After(foldPause):
		}
	}
}

// abandon gives the claim up. It may still come into force, but then only a later request starts under it. The request
// is called not run only if no earlier one under the key can have run; a log that refused the claim knew of none.
func (s *Service) abandon(ctx context.Context, r Request, code codes.Code) Outcome {
	s.mu.Lock()
	s.registry.AbandonClaim(r.id())
	s.wake(r.id())
	s.mu.Unlock()
	if code == codes.ClaimsFull || s.neverRan(ctx, r) {
		return Outcome{code: code}
	}
	return Outcome{code: codes.HolderGone, detail: "the log is down, and an earlier request under the key may have run"}
}

// neverRan asks every gate. One that does not answer, or began after this gate last saw the end of the log, hides what
// an earlier run of it may have claimed.
func (s *Service) neverRan(ctx context.Context, r Request) bool {
	select {
	case s.checks <- struct{}{}:
		defer func() { <-s.checks }()
	default:
		return false
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), seenTimeout)
	defer cancel()
	gates := s.deps.Gates()
	clean := make([]bool, len(gates))
	var wg sync.WaitGroup
	for i, g := range gates {
		wg.Go(func() { clean[i] = s.neverRanAt(ctx, g, r) })
	}
	wg.Wait()
	for _, c := range clean {
		if !c {
			return false
		}
	}
	return true
}

func (s *Service) neverRanAt(ctx context.Context, g Gate, r Request) bool {
	question := seenWire{r.w.Team, r.w.Key}
	answer := s.seen(question)
	if !g.Self {
		if err := s.deps.Peers.Call(ctx, g.Address, methodSeen, question, &answer); err != nil {
			return false
		}
	}
	needed := time.Duration(s.deps.StateSource.StalenessMs())*time.Millisecond + agreeMargin
	return !answer.MayHaveRun && time.Duration(answer.AgeMs)*time.Millisecond >= needed
}

func (s *Service) answerSeen(_ context.Context, raw json.RawMessage) (any, error) {
	var w seenWire
	if err := json.Unmarshal(raw, &w); err != nil {
		return nil, err
	}
	return s.seen(w), nil
}

// seen tells whether a request under the key may have run, as far as this gate knows.
func (s *Service) seen(w seenWire) seenAnswerWire {
	_, claimed := s.deps.StateSource.State().Claim(w.Team, w.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	return seenAnswerWire{
		MayHaveRun: claimed || s.registry.MayHaveRun(ticket.KeyID(w.Team, w.Key)),
		AgeMs:      time.Since(s.started).Milliseconds(),
	}
}
