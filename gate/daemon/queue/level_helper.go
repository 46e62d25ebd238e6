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
	methodLevel  = "queue/level"
	levelPeriod  = 250 * time.Millisecond
	levelTimeout = 200 * time.Millisecond
	// Fewer waiting requests of a team than this are never moved.
	leastToLevel = 2
)

type levelWire struct {
	Pool  string   `json:"pool"`
	Teams []string `json:"teams"`
}

// levelAnswerWire has one count for each team asked about; a dispatcher that does not serve the pool has no slots.
type levelAnswerWire struct {
	Slots   int   `json:"slots"`
	Waiting []int `json:"waiting"`
}

// move is how many waiting requests of a team go to the dispatcher of another data centre.
type move struct {
	team  string
	to    string
	count int
}

// siteLoad is what waits at the dispatcher of one data centre.
type siteLoad struct {
	dataCentre string
	slots      int
	waiting    int
}

// planMoves spreads a team's waiting requests by slots: what the first site has beyond its part goes where less waits.
// Every dispatcher plans only its own moves, so of several that have too many each sends its part.
func planMoves(team string, sites []siteLoad) []move {
	slots, total := 0, 0
	for _, site := range sites {
		slots += site.slots
		total += site.waiting
	}
	if slots == 0 {
		return nil
	}
	surplus, own := 0, 0
	for i, site := range sites {
		beyond := max(site.waiting-total*site.slots/slots-1, 0)
		surplus += beyond
		if i == 0 {
			own = beyond
		}
	}
	left := own
	var out []move
	for _, site := range sites[1:] {
		wanted := max(total*site.slots/slots+1-site.waiting, 0)
		if n := min(wanted*own/max(surplus, 1), left); n > 0 && site.slots > 0 {
			out = append(out, move{team, site.dataCentre, n})
			left -= n
		}
	}
	return out
}

// level asks the other dispatchers of the pool what waits there, if enough waits here; moves come back as a command.
func (d *dispatcher) level(ctx context.Context, now time.Time) {
	if !d.active || d.levelling || now.Sub(d.levelled) < levelPeriod || d.scheduler.Waiting() < leastToLevel {
		return
	}
	var teams []string
	for _, t := range d.scheduler.Snapshot() {
		if t.Waiting() >= leastToLevel {
			teams = append(teams, t.Name())
		}
	}
	if len(teams) == 0 {
		return
	}
	d.levelling = true
	d.levelled = now
	own := d.waitingOf(teams)
	go func() {
		moves := d.service.gatherMoves(ctx, d.pool, teams, own)
		select {
		case d.commands <- moveCommand{moves}:
		case <-ctx.Done():
		}
	}()
}

func (d *dispatcher) waitingOf(teams []string) levelAnswerWire {
	if !d.active {
		return levelAnswerWire{Waiting: make([]int, len(teams))}
	}
	answer := levelAnswerWire{Slots: d.balancer.Slots()}
	for _, team := range teams {
		answer.Waiting = append(answer.Waiting, d.scheduler.TeamWaiting(team))
	}
	return answer
}

// move answers waiting requests with the data centre to ask instead. They hold no grant and no right, so the asking
// gate may ask there at once.
func (d *dispatcher) move(moves []move) {
	d.levelling = false
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

// gatherMoves asks the pool's dispatchers in the other data centres that can be reached and plans this one's moves.
func (s *Service) gatherMoves(ctx context.Context, pool string, teams []string, own levelAnswerWire) []move {
	others := s.otherSites(pool)
	answers := s.askWaiting(ctx, others, levelWire{pool, teams})
	state := s.states.State()
	var out []move
	for i, team := range teams {
		sites := []siteLoad{{s.members.Self().DataCentre(), own.Slots, own.Waiting[i]}}
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
	own := s.members.Self().DataCentre()
	place := s.placements.load()
	var out []peers.Member
	for _, centre := range view.DataCentres() {
		if centre == own || len(place.targets(pool, centre)) == 0 {
			continue
		}
		if m, ok := view.Pick(centre, poolRole(pool)); ok {
			out = append(out, m)
		}
	}
	return out
}

// askWaiting returns the answers in the order of the sites; that of one without an answer is empty.
func (s *Service) askWaiting(ctx context.Context, sites []peers.Member, w levelWire) []levelAnswerWire {
	ctx, cancel := context.WithTimeout(ctx, levelTimeout)
	defer cancel()
	out := make([]levelAnswerWire, len(sites))
	var wg sync.WaitGroup
	for i, site := range sites {
		wg.Go(func() {
			var answer levelAnswerWire
			if err := s.peers.Call(ctx, site.Address(), methodLevel, w, &answer); err == nil {
				out[i] = answer
			}
		})
	}
	wg.Wait()
	return out
}

func (s *Service) answerLevel(ctx context.Context, raw json.RawMessage) (any, error) {
	var w levelWire
	if err := json.Unmarshal(raw, &w); err != nil {
		return nil, err
	}
	d := s.dispatcherOf(w.Pool, false)
	if d == nil {
		return levelAnswerWire{}, nil
	}
	reply := make(chan levelAnswerWire, 1)
	select {
	case d.commands <- waitingCommand{w.Teams, reply}:
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
