package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"mangowing/core/event"
	"mangowing/core/fold"
	"mangowing/gate/peers"
)

const (
	methodLoad    = "admin/load"
	methodEvents  = "admin/events"
	gatherTimeout = 2 * time.Second
	maxEvents     = 20_000
)

type statusWire struct {
	Deployment string        `json:"deployment"`
	Gates      []gateRowWire `json:"gates"`
	Pools      []poolRowWire `json:"pools"`
	Teams      []teamRowWire `json:"teams"`
	Lease      leaseWire     `json:"lease"`
	Log        logWire       `json:"log"`
}

type gateRowWire struct {
	Name        string `json:"name"`
	DataCentre  string `json:"data-centre"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	Reachable   bool   `json:"reachable"`
	Ready       bool   `json:"ready"`
	Stopping    bool   `json:"stopping"`
	Offset      uint64 `json:"offset"`
	Digest      string `json:"digest"`
	StalenessMs int64  `json:"staleness-ms"`
}

type poolRowWire struct {
	Name       string      `json:"name"`
	MinServing int         `json:"min-serving"`
	Serving    int         `json:"serving"`
	Waiting    int         `json:"waiting"`
	VMs        []vmRowWire `json:"vms"`
}

type vmRowWire struct {
	Name       string `json:"name"`
	State      string `json:"state"`
	Pool       string `json:"pool"`
	Target     string `json:"target,omitempty"`
	DataCentre string `json:"data-centre"`
	Rack       string `json:"rack"`
	Running    int    `json:"running"`
}

type teamRowWire struct {
	Name         string `json:"name"`
	Organisation string `json:"organisation"`
	Share        int    `json:"share"`
	Limit        int    `json:"limit"`
	Running      int    `json:"running"`
	Waiting      int    `json:"waiting"`
	RightsHeld   int    `json:"rights-held"`
	RightsSpare  int    `json:"rights-spare"`
}

type leaseWire struct {
	Holder string `json:"holder"`
	Token  uint64 `json:"token"`
}

type logWire struct {
	Reachable bool   `json:"reachable"`
	Offset    uint64 `json:"offset"`
}

// loadWire is one gate's share of the load. The status adds it up over all gates.
type loadWire struct {
	Pools []poolLoadWire `json:"pools"`
	Teams []teamLoadWire `json:"teams"`
}

type poolLoadWire struct {
	Pool    string         `json:"pool"`
	Waiting int            `json:"waiting"`
	VMs     []vmLoadWire   `json:"vms"`
	Teams   []teamLoadWire `json:"teams"`
}

type vmLoadWire struct {
	VM      string `json:"vm"`
	Running int    `json:"running"`
}

type teamLoadWire struct {
	Team    string `json:"team"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	Held    int    `json:"held"`
	Spare   int    `json:"spare"`
}

type filterWire struct {
	Since   event.Timestamp `json:"since"`
	Request string          `json:"request"`
	Team    string          `json:"team"`
	VM      string          `json:"vm"`
}

type eventsWire struct {
	Events []event.Event `json:"events"`
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	st := s.deps.Control.State()
	loads := gather[loadWire](r.Context(), s, methodLoad, struct{}{})
	loads = append(loads, s.load())
	writeJSON(w, http.StatusOK, statusWire{
		Deployment: st.Config().Fleet().Name(),
		Gates:      s.gateRows(),
		Pools:      s.poolRows(st, loads),
		Teams:      teamRows(st, loads),
		Lease:      leaseWire{st.Lease().Holder(), st.Lease().Token()},
		Log:        logWire{s.deps.Control.IsLogReachable(), st.Offset()},
	})
}

func (s *Server) gateRows() []gateRowWire {
	var out []gateRowWire
	view := s.deps.Members.View()
	for _, m := range view.Members() {
		out = append(out, gateRowWire{
			m.Name(), m.DataCentre(), m.Incarnation(), m.Address(), view.IsReachable(m), m.IsReady(), m.IsStopping(),
			m.Offset(), strconv.FormatUint(m.Digest(), 16), m.StalenessMs(),
		})
	}
	return out
}

func (s *Server) poolRows(st *fold.State, loads []loadWire) []poolRowWire {
	running := map[string]int{}
	waiting := map[string]int{}
	for _, l := range loads {
		for _, p := range l.Pools {
			waiting[p.Pool] += p.Waiting
			for _, vm := range p.VMs {
				running[vm.VM] += vm.Running
			}
		}
	}
	rows := map[string][]vmRowWire{}
	list := s.deps.Lists.List()
	for _, name := range list.Names() {
		vm, _ := list.VM(name)
		folded := st.VM(name)
		state := folded.State()
		if vm.State() != "live" && state == fold.VMServing {
			state = vm.State()
		}
		rows[folded.Pool()] = append(rows[folded.Pool()], vmRowWire{
			name, state, folded.Pool(), folded.Target(), vm.DataCentre(), vm.Rack(), running[name],
		})
	}
	var out []poolRowWire
	for _, pool := range st.Config().Pools() {
		row := poolRowWire{Name: pool, MinServing: minServing(st, pool), Waiting: waiting[pool], VMs: rows[pool]}
		for _, vm := range row.VMs {
			if vm.State == fold.VMServing {
				row.Serving++
			}
		}
		out = append(out, row)
	}
	return out
}

func teamRows(st *fold.State, loads []loadWire) []teamRowWire {
	totals := map[string]teamLoadWire{}
	add := func(t teamLoadWire) {
		total := totals[t.Team]
		total.Running += t.Running
		total.Waiting += t.Waiting
		total.Held += t.Held
		total.Spare += t.Spare
		totals[t.Team] = total
	}
	for _, l := range loads {
		for _, t := range l.Teams {
			add(t)
		}
		for _, p := range l.Pools {
			for _, t := range p.Teams {
				add(t)
			}
		}
	}
	var out []teamRowWire
	for _, name := range st.Config().Teams() {
		t, _ := st.Config().Team(name)
		total := totals[name]
		out = append(out, teamRowWire{name, t.Organisation(), t.Share(), t.Limit(), total.Running, total.Waiting, total.Held, total.Spare})
	}
	return out
}

func (s *Server) load() loadWire {
	var out loadWire
	st := s.deps.Control.State()
	for _, pool := range st.Config().Pools() {
		l, ok := s.deps.PoolLoads.Load(pool)
		if !ok {
			continue
		}
		row := poolLoadWire{Pool: pool, Waiting: l.Waiting()}
		for _, vm := range l.VMs() {
			row.VMs = append(row.VMs, vmLoadWire{vm.VM(), vm.Running()})
		}
		for _, t := range l.Teams() {
			row.Teams = append(row.Teams, teamLoadWire{Team: t.Name(), Running: t.Running(), Waiting: t.Waiting()})
		}
		out.Pools = append(out.Pools, row)
	}
	for _, team := range st.Config().Teams() {
		inUse, available := s.deps.Rights.Usage(team)
		if inUse != 0 || available != 0 {
			out.Teams = append(out.Teams, teamLoadWire{Team: team, Held: inUse + available, Spare: available})
		}
	}
	return out
}

func (s *Server) handleLoad(context.Context, json.RawMessage) (any, error) {
	return s.load(), nil
}

// gather calls every other gate that can be reached and returns the answers received within gatherTimeout.
func gather[T any](ctx context.Context, s *Server, method string, params any) []T {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var out []T
	view := s.deps.Members.View()
	for _, m := range view.Members() {
		if m.IsSelf() || !view.IsReachable(m) {
			continue
		}
		wg.Go(func() {
			answer, err := callPeer[T](ctx, s.deps.Peers, m, method, params)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, answer)
		})
	}
	wg.Wait()
	return out
}

func callPeer[T any](ctx context.Context, p Peers, m peers.Member, method string, params any) (T, error) {
	var answer T
	err := p.Call(ctx, m.Address(), method, params, &answer)
	return answer, err
}

func (s *Server) events(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("since"), 10, 64)
	filter := filterWire{event.Timestamp(since), q.Get("request"), q.Get("team"), q.Get("vm")}
	out := eventsWire{Events: s.localEvents(filter)}
	if q.Get("all") == "yes" {
		for _, answer := range gather[eventsWire](r.Context(), s, methodEvents, filter) {
			out.Events = append(out.Events, answer.Events...)
		}
	}
	slices.SortStableFunc(out.Events, func(a, b event.Event) int {
		switch {
		case a.Timestamp() < b.Timestamp():
			return -1
		case a.Timestamp() > b.Timestamp():
			return 1
		default:
			return strings.Compare(a.Process(), b.Process())
		}
	})
	if len(out.Events) > maxEvents {
		out.Events = out.Events[len(out.Events)-maxEvents:]
	}
	writeJSON(w, http.StatusOK, out)
}

func (s *Server) localEvents(f filterWire) []event.Event {
	found := s.deps.Process.Events().Select(event.Filter{Since: f.Since, Request: f.Request, Team: f.Team, VM: f.VM})
	if found == nil {
		return []event.Event{}
	}
	return found
}

func (s *Server) handleEvents(_ context.Context, raw json.RawMessage) (any, error) {
	var f filterWire
	if err := json.Unmarshal(raw, &f); err != nil {
		return nil, err
	}
	return eventsWire{s.localEvents(f)}, nil
}
