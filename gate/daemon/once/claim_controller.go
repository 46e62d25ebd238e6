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
	methodCheckKey = "once/seen"

	claimTimeout        = 2 * time.Second
	checkKeyTimeout     = 500 * time.Millisecond
	statePollPause      = 5 * time.Millisecond
	uptimeMargin        = time.Second
	maxConcurrentChecks = 8
)

type keyCheckWire struct {
	Team string `json:"team"`
	Key  string `json:"key"`
}

type keyCheckAnswerWire struct {
	MayHaveRun bool  `json:"may-have-run"`
	UptimeMs   int64 `json:"age-ms"`
}

// firstClaim returns the first claim on the request's key in the folded log.
func (s *Service) firstClaim(r Request) ticket.FirstClaim {
	if r.wire.Ticket != "" {
		return ticket.FirstClaim{}
	}
	c, ok := s.deps.StateSource.State().Claim(r.wire.Team, r.wire.Key)
	if !ok {
		return ticket.FirstClaim{}
	}
	if !c.MatchesDigest(r.digest()) {
		return ticket.NewFirstClaim(c.Holder(), "")
	}
	return ticket.NewFirstClaim(c.Holder(), r.digest())
}

// acquireClaim appends a claim record. This gate may start the request only if its claim is read back as the first one.
func (s *Service) acquireClaim(ctx context.Context, r Request, sink relay.Sink) (Outcome, bool) {
	first, code := s.writeClaim(ctx, r)
	if code != codes.OK {
		return s.abandonClaim(ctx, r, code), true
	}
	s.mu.Lock()
	d := s.registry.ResolveClaim(r.id(), r.digest(), first, time.Now())
	s.notifyRunEnd(r.id())
	s.mu.Unlock()
	if _, inProgress := d.(ticket.InProgress); inProgress {
		return Outcome{}, false
	}
	return s.carryOut(ctx, r, d, sink)
}

// writeClaim returns the first claim on the key, or the code ClaimsFull or ClaimLogDown if none could be determined.
func (s *Service) writeClaim(ctx context.Context, r Request) (ticket.FirstClaim, codes.Code) {
	self := s.deps.Process.Incarnation()
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	body := record.NewClaim(r.wire.Team, r.wire.Key, r.digest(), self)
	results, err := s.deps.Log.Append(ctx, []record.Record{record.New(self, s.deps.Process.NowMs(), body)})
	switch {
	case err != nil || len(results) != 1:
		return ticket.FirstClaim{}, codes.ClaimLogDown
	case results[0].Code() == codes.OK:
		return ticket.NewFirstClaim(self, r.digest()), codes.OK
	case results[0].Code() == codes.ClaimsFull:
		return ticket.FirstClaim{}, codes.ClaimsFull
	default:
		return s.awaitClaim(ctx, r)
	}
}

// awaitClaim waits for a state that contains the other gate's claim, since results arrive before the state is published.
func (s *Service) awaitClaim(ctx context.Context, r Request) (ticket.FirstClaim, codes.Code) {
	for {
		if first := s.firstClaim(r); first != (ticket.FirstClaim{}) {
			return first, codes.OK
		}
		select {
		case <-ctx.Done():
			return ticket.FirstClaim{}, codes.ClaimLogDown
		case <-time.After(statePollPause):
		}
	}
}

// abandonClaim gives up the claim and returns the outcome. The claim may still take effect; then only a later request
// starts under it. The request counts as not run only if no earlier request with the key can have run. If the log
// rejected the claim because it is full, it holds no earlier claim on the key.
func (s *Service) abandonClaim(ctx context.Context, r Request, code codes.Code) Outcome {
	s.mu.Lock()
	s.registry.AbandonClaim(r.id())
	s.notifyRunEnd(r.id())
	s.mu.Unlock()
	if code == codes.ClaimsFull || s.hasCertainlyNotRun(ctx, r) {
		return Outcome{code: code}
	}
	return Outcome{code: codes.HolderGone, detail: "the log is down, and an earlier request under the key may have run"}
}

// hasCertainlyNotRun asks every gate and reports whether no request with the key can have run. It returns false if a gate
// does not answer, or started after this gate last read up to the end of the log: an earlier incarnation of that gate
// may have made a claim that this gate has not read.
func (s *Service) hasCertainlyNotRun(ctx context.Context, r Request) bool {
	select {
	case s.checkSlots <- struct{}{}:
		defer func() { <-s.checkSlots }()
	default:
		return false
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), checkKeyTimeout)
	defer cancel()
	gates := s.deps.Gates()
	notRun := make([]bool, len(gates))
	var wg sync.WaitGroup
	for i, g := range gates {
		wg.Go(func() { notRun[i] = s.hasCertainlyNotRunAt(ctx, g, r) })
	}
	wg.Wait()
	for _, c := range notRun {
		if !c {
			return false
		}
	}
	return true
}

func (s *Service) hasCertainlyNotRunAt(ctx context.Context, g Gate, r Request) bool {
	query := keyCheckWire{r.wire.Team, r.wire.Key}
	answer := s.checkKey(query)
	if !g.Self {
		if err := s.deps.Peers.Call(ctx, g.Address, methodCheckKey, query, &answer); err != nil {
			return false
		}
	}
	minUptime := time.Duration(s.deps.StateSource.StalenessMs())*time.Millisecond + uptimeMargin
	return !answer.MayHaveRun && time.Duration(answer.UptimeMs)*time.Millisecond >= minUptime
}

func (s *Service) handleCheckKey(_ context.Context, raw json.RawMessage) (any, error) {
	var w keyCheckWire
	if err := json.Unmarshal(raw, &w); err != nil {
		return nil, err
	}
	return s.checkKey(w), nil
}

// checkKey returns whether, as far as this gate knows, a request with the key may have run, and this gate's uptime.
func (s *Service) checkKey(w keyCheckWire) keyCheckAnswerWire {
	_, claimed := s.deps.StateSource.State().Claim(w.Team, w.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	return keyCheckAnswerWire{
		MayHaveRun: claimed || s.registry.MayHaveRun(ticket.KeyID(w.Team, w.Key)),
		UptimeMs:   time.Since(s.started).Milliseconds(),
	}
}
