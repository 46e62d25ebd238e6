package queue

import (
	"context"
	"encoding/json"
	"sync"

	"mangowing/gate/peers"
)

const methodLoad = "queue/load"

// PoolDemand is what one gate's dispatcher knows of the demand on a pool.
type PoolDemand struct {
	w demandWire
}

type demandWire struct {
	Pool    string   `json:"pool"`
	Waiting int      `json:"waiting"`
	Running int      `json:"running"`
	Ejected []string `json:"ejected,omitempty"`
}

type loadAnswerWire struct {
	Pools []demandWire `json:"pools"`
}

// Pool returns the pool's name.
func (d PoolDemand) Pool() string { return d.w.Pool }

// Waiting returns the number of requests that wait.
func (d PoolDemand) Waiting() int { return d.w.Waiting }

// Running returns the number of grants not yet released.
func (d PoolDemand) Running() int { return d.w.Running }

// Ejected returns the VMs that get no requests because they failed or could not be reached.
func (d PoolDemand) Ejected() []string { return d.w.Ejected }

func (s *Service) demand() loadAnswerWire {
	var out loadAnswerWire
	for _, d := range s.all() {
		reply := make(chan PoolLoad, 1)
		d.commands <- statusCommand{reply}
		l := <-reply
		if l.waiting+l.running > 0 || len(l.ejected) > 0 {
			out.Pools = append(out.Pools, demandWire{d.pool, l.waiting, l.running, l.ejected})
		}
	}
	return out
}

func (s *Service) answerLoad(context.Context, json.RawMessage) (any, error) {
	return s.demand(), nil
}

// GatherDemand asks every gate that can be reached what its dispatchers have; pools without any are left out.
func (s *Service) GatherDemand(ctx context.Context) []PoolDemand {
	var mu sync.Mutex
	var out []PoolDemand
	take := func(a loadAnswerWire) {
		mu.Lock()
		defer mu.Unlock()
		for _, p := range a.Pools {
			out = append(out, PoolDemand{p})
		}
	}
	take(s.demand())
	s.eachReachable(func(m peers.Member) {
		var answer loadAnswerWire
		if err := s.peers.Call(ctx, m.Address(), methodLoad, struct{}{}, &answer); err == nil {
			take(answer)
		}
	})
	return out
}

func (s *Service) eachReachable(f func(m peers.Member)) {
	var wg sync.WaitGroup
	view := s.members.View()
	for _, m := range view.Members() {
		if !m.IsSelf() && view.IsReachable(m) {
			wg.Go(func() { f(m) })
		}
	}
	wg.Wait()
}

// DrainAcks asks every gate of the VM's data centre whether it has folded the VM's step and how many of its grants
// on the VM are still out. A gate whose address refuses connections counts as having none; a silent one blocks.
func (s *Service) DrainAcks(ctx context.Context, vm, dataCentre string, revision uint64) (all bool, outstanding int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	all = true
	for _, m := range s.members.View().Members() {
		if m.DataCentre() != dataCentre {
			continue
		}
		wg.Go(func() {
			seen, n := s.drainAck(ctx, m, vm, revision)
			mu.Lock()
			defer mu.Unlock()
			all = all && seen
			outstanding += n
		})
	}
	wg.Wait()
	return all, outstanding
}

func (s *Service) drainAck(ctx context.Context, m peers.Member, vm string, revision uint64) (seen bool, outstanding int) {
	if m.IsSelf() {
		answer := s.drained(drainedWire{vm, revision})
		return answer.Seen, answer.Outstanding
	}
	var answer drainedAnswerWire
	err := s.peers.Call(ctx, m.Address(), methodDrained, drainedWire{vm, revision}, &answer)
	if refusedConnection(err) {
		return true, 0
	}
	return err == nil && answer.Seen, answer.Outstanding
}
