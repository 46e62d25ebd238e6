package queue

import (
	"context"
	"encoding/json"
	"sync"

	"mangowing/gate/peers"
)

const methodLoad = "queue/load"

// PoolDemand is the demand on a pool as one gate's dispatcher has it.
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

// Ejected returns the VMs that get no requests because they failed or were unreachable.
func (d PoolDemand) Ejected() []string { return d.w.Ejected }

func (s *Service) localDemand() loadAnswerWire {
	var out loadAnswerWire
	for _, d := range s.allDispatchers() {
		reply := make(chan PoolLoad, 1)
		d.commands <- loadCommand{reply}
		l := <-reply
		if l.waiting+l.running > 0 || len(l.ejected) > 0 {
			out.Pools = append(out.Pools, demandWire{d.pool, l.waiting, l.running, l.ejected})
		}
	}
	return out
}

func (s *Service) answerLoad(context.Context, json.RawMessage) (any, error) {
	return s.localDemand(), nil
}

// GatherDemand collects the demand from every reachable gate, with one entry for each gate and pool. Pools without
// demand are left out.
func (s *Service) GatherDemand(ctx context.Context) []PoolDemand {
	var mu sync.Mutex
	var out []PoolDemand
	add := func(a loadAnswerWire) {
		mu.Lock()
		defer mu.Unlock()
		for _, p := range a.Pools {
			out = append(out, PoolDemand{p})
		}
	}
	add(s.localDemand())
	s.forEachReachable(func(m peers.Member) {
		var answer loadAnswerWire
		if err := s.peers.Call(ctx, m.Address(), methodLoad, struct{}{}, &answer); err == nil {
			add(answer)
		}
	})
	return out
}

func (s *Service) forEachReachable(f func(m peers.Member)) {
	var wg sync.WaitGroup
	view := s.members.View()
	for _, m := range view.Members() {
		if !m.IsSelf() && view.IsReachable(m) {
			wg.Go(func() { f(m) })
		}
	}
	wg.Wait()
}

// DrainAcks asks every gate of the VM's data centre whether it has folded the VM's step with this revision, and how many
// grants on the VM it has outstanding. A gate whose address refuses connections counts as having none; one that does not
// answer makes all false.
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
		answer := s.answerDrainQuery(drainQueryWire{vm, revision})
		return answer.Seen, answer.Outstanding
	}
	var answer drainAnswerWire
	err := s.peers.Call(ctx, m.Address(), methodDrained, drainQueryWire{vm, revision}, &answer)
	if isConnectionRefused(err) {
		return true, 0
	}
	return err == nil && answer.Seen, answer.Outstanding
}
