package queue

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"mangowing/core/codes"
	"mangowing/gate/peers"
)

const (
	methodWaitingCounts = "queue/level"
	rebalancePeriod     = 250 * time.Millisecond
	rebalanceTimeout    = 200 * time.Millisecond
	// A team with fewer waiting requests than this is not rebalanced.
	minWaitingToMove = 2
)

type waitingCountsWire struct {
	Pool  string   `json:"pool"`
	Teams []string `json:"teams"`
}

// waitingCountsAnswerWire has one count for each queried team, in the query's order. Slots is 0 if the gate does not
// dispatch the pool.
type waitingCountsAnswerWire struct {
	Slots   int   `json:"slots"`
	Waiting []int `json:"waiting"`
}

// move is a number of a team's waiting requests to send to the dispatcher of another data centre.
type move struct {
	team  string
	to    string
	count int
}

// siteLoad is the number of a team's waiting requests at the dispatcher of one data centre.
type siteLoad struct {
	dataCentre string
	slots      int
	waiting    int
}

// planMoves returns the moves that spread a team's waiting requests in proportion to the sites' slots. It moves only the
// surplus of sites[0], which is the caller's; other dispatchers with a surplus plan their own moves, so each fills its part
// of the others' shortfall.
func planMoves(team string, sites []siteLoad) []move {
	slots, total := 0, 0
	for _, site := range sites {
		slots += site.slots
		total += site.waiting
	}
	if slots == 0 {
		return nil
	}
	surplus, ownSurplus := 0, 0
	for i, site := range sites {
		excess := max(site.waiting-total*site.slots/slots-1, 0)
		surplus += excess
		if i == 0 {
			ownSurplus = excess
		}
	}
	remaining := ownSurplus
	var out []move
	for _, site := range sites[1:] {
		shortfall := max(total*site.slots/slots+1-site.waiting, 0)
		if n := min(shortfall*ownSurplus/max(surplus, 1), remaining); n > 0 && site.slots > 0 {
			out = append(out, move{team, site.dataCentre, n})
			remaining -= n
		}
	}
	return out
}

// rebalance queries the waiting counts of the pool's other dispatchers in the background if enough requests wait here. The
// planned moves arrive as a moveCommand.
func (d *dispatcher) rebalance(ctx context.Context, now time.Time) {
	if !d.active || d.rebalancing || now.Sub(d.rebalancedAt) < rebalancePeriod || d.scheduler.Waiting() < minWaitingToMove {
		return
	}
	var teams []string
	for _, t := range d.scheduler.Snapshot() {
		if t.Waiting() >= minWaitingToMove {
			teams = append(teams, t.Name())
		}
	}
	if len(teams) == 0 {
		return
	}
	d.rebalancing = true
	d.rebalancedAt = now
	ownCounts := d.waitingCounts(teams)
	go func() {
		moves := d.service.planTeamMoves(ctx, d.pool, teams, ownCounts)
		select {
		case d.commands <- moveCommand{moves}:
		case <-ctx.Done():
		}
	}()
}

func (d *dispatcher) waitingCounts(teams []string) waitingCountsAnswerWire {
	if !d.active {
		return waitingCountsAnswerWire{Waiting: make([]int, len(teams))}
	}
	answer := waitingCountsAnswerWire{Slots: d.balancer.Slots()}
	for _, team := range teams {
		answer.Waiting = append(answer.Waiting, d.scheduler.TeamWaiting(team))
	}
	return answer
}

// move answers waiting requests with the data centre to ask instead. They hold neither a grant nor a right, so the
// asking gate may ask there at once.
func (d *dispatcher) move(moves []move) {
	d.rebalancing = false
	if !d.active {
		return
	}
	now := time.Now()
	for _, m := range moves {
		for _, item := range d.scheduler.Take(m.team, m.count, now) {
			w := d.waiters[item.ID()]
			delete(d.waiters, item.ID())
			answer := refusal(codes.DispatcherLost, "moved to the dispatcher of "+m.to)
			answer.MoveTo = m.to
			w.reply <- answer
		}
	}
}

// planTeamMoves queries the pool's reachable dispatchers in the other data centres and plans the moves from this one.
func (s *Service) planTeamMoves(ctx context.Context, pool string, teams []string, ownCounts waitingCountsAnswerWire) []move {
	others := s.otherSites(pool)
	answers := s.collectWaitingCounts(ctx, others, waitingCountsWire{pool, teams})
	state := s.states.State()
	var out []move
	for i, team := range teams {
		sites := []siteLoad{{s.members.Self().DataCentre(), ownCounts.Slots, ownCounts.Waiting[i]}}
		for n, other := range others {
			if len(answers[n].Waiting) == len(teams) && state.Allotment(team, other.DataCentre()) > 0 {
				sites = append(sites, siteLoad{other.DataCentre(), answers[n].Slots, answers[n].Waiting[i]})
			}
		}
		out = append(out, planMoves(team, sites)...)
	}
	return out
}

func (s *Service) otherSites(pool string) []peers.Member {
	view := s.members.View()
	ownCentre := s.members.Self().DataCentre()
	index := s.indexes.load()
	var out []peers.Member
	for _, centre := range view.DataCentres() {
		if centre == ownCentre || len(index.targets(pool, centre)) == 0 {
			continue
		}
		if m, ok := view.Pick(centre, poolRole(pool)); ok {
			out = append(out, m)
		}
	}
	return out
}

// collectWaitingCounts returns the answers in the order of the sites. The answer of a site that failed is empty.
func (s *Service) collectWaitingCounts(ctx context.Context, sites []peers.Member, w waitingCountsWire) []waitingCountsAnswerWire {
	ctx, cancel := context.WithTimeout(ctx, rebalanceTimeout)
	defer cancel()
	out := make([]waitingCountsAnswerWire, len(sites))
	var wg sync.WaitGroup
	for i, site := range sites {
		wg.Go(func() {
			var answer waitingCountsAnswerWire
			if err := s.peers.Call(ctx, site.Address(), methodWaitingCounts, w, &answer); err == nil {
				out[i] = answer
			}
		})
	}
	wg.Wait()
	return out
}

func (s *Service) answerWaitingCounts(ctx context.Context, raw json.RawMessage) (any, error) {
	var w waitingCountsWire
	if err := json.Unmarshal(raw, &w); err != nil {
		return nil, err
	}
	d := s.dispatcherOf(w.Pool, false)
	if d == nil {
		return waitingCountsAnswerWire{}, nil
	}
	reply := make(chan waitingCountsAnswerWire, 1)
	select {
	case d.commands <- waitingCountsCommand{w.Teams, reply}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
