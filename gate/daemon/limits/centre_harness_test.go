package limits

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/core/fold"
	"mangowing/core/proc"
	"mangowing/core/record"
	"mangowing/core/rights"
	"mangowing/gate/peers"
)

const (
	testTeam   = "paint"
	testDC     = "north"
	testSettle = 3 * time.Second
	recovery   = 5 * time.Second
)

// centre is a data centre in memory: gates at fixed addresses, their network and the upstreams.
type centre struct {
	t          *testing.T
	r          *rand.Rand
	mu         sync.Mutex
	slots      []*gate
	heard      []string // the incarnation last seen at each address
	cut        map[int]bool
	lossy      atomic.Bool
	muted      string      // the method whose answers are lost
	lagging    int         // the gate that does not get the next states, -1 for none
	forget     atomic.Bool // the slip: work of gone gates is not reported
	running    map[string]int
	folder     *fold.Folder
	limit      int
	revision   uint64
	highest    int // the highest limit since the last check point
	breach     string
	started    map[int]int
	finishWork sync.WaitGroup
}

// gate is one incarnation at an address.
type gate struct {
	centre   *centre
	slot     int
	process  *proc.Process
	service  *Service
	handlers map[string]peers.Handler
	state    atomic.Pointer[fold.State]
	stopping atomic.Bool
	cancel   context.CancelFunc
	ended    chan struct{}
}

// inCentre runs the body with a data centre of three gates in virtual time.
func inCentre(t *testing.T, limit int, body func(c *centre)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &centre{
			t: t, r: rand.New(rand.NewPCG(11, uint64(limit))), slots: make([]*gate, 3), heard: make([]string, 3),
			cut: map[int]bool{}, lagging: -1, running: map[string]int{}, folder: fold.NewFolder(), started: map[int]int{},
		}
		c.setLimit(limit)
		for slot := range c.slots {
			c.start(slot)
		}
		body(c)
		for slot := range c.slots {
			c.kill(slot)
		}
		c.finishWork.Wait()
		assert.Equal(t, c.breach, "")
	})
}

// setLimit folds a change of the team's limit and publishes it to every gate.
func (c *centre) setLimit(limit int) {
	team := record.NewObject("team", testTeam, c.revision).WithField("organisation", "body-works").
		WithField("share", "1").WithField("limit", strconv.Itoa(limit))
	objects := []record.Object{team}
	if c.revision == 0 {
		objects = append(objects, record.NewObject("fleet", "plant", 0).WithField("data-centres", testDC))
	}
	data, err := record.EncodeBatch([]record.Record{record.New("operator", 0, record.NewChange(objects, ""))})
	assert.NilError(c.t, err)
	verdicts, err := c.folder.Apply(c.folder.Offset()+1, data)
	assert.NilError(c.t, err)
	assert.Equal(c.t, fmt.Sprint(verdicts[0].Code(), verdicts[0].Faults()), "0 ok []")
	_, c.revision = c.folder.Publish().Object("team", testTeam)
	c.mu.Lock()
	c.limit = limit
	c.highest = max(c.highest, limit)
	c.mu.Unlock()
	published := c.folder.Publish()
	for slot := range c.slots {
		if slot != c.lagging {
			c.publish(slot, published)
		}
	}
}

func (c *centre) publish(slot int, state *fold.State) {
	if g := c.at(slot); g != nil {
		g.state.Store(state)
	}
}

func (c *centre) start(slot int) {
	g := &gate{centre: c, slot: slot, process: proc.New(fmt.Sprint("gate-", slot)), handlers: map[string]peers.Handler{}}
	g.state.Store(c.folder.Publish())
	g.service = New(Deps{
		Process: g.process, States: g, Peers: g, LocalGates: g.neighbours, Orphans: c, DataCentre: testDC, SettleTime: testSettle,
	})
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel, g.ended = cancel, make(chan struct{})
	c.mu.Lock()
	c.slots[slot], c.heard[slot] = g, g.process.Incarnation()
	c.mu.Unlock()
	go func() { _ = g.process.Timers().Serve(ctx) }()
	go func() {
		_ = g.service.Serve(ctx)
		close(g.ended)
	}()
}

// kill ends a gate; the work it started goes on.
func (c *centre) kill(slot int) {
	c.mu.Lock()
	g := c.slots[slot]
	c.slots[slot] = nil
	c.mu.Unlock()
	if g == nil {
		return
	}
	g.cancel()
	<-g.ended
}

func (c *centre) at(slot int) *gate {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.slots[slot]
}

func (c *centre) setCut(slot int, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[slot] = cut
}

// Orphans counts the running work of all but the counted incarnations.
func (c *centre) Orphans(_ context.Context, counted []string) ([]rights.TeamCount, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for incarnation, running := range c.running {
		n += running
		for _, known := range counted {
			if known == incarnation {
				n -= running
			}
		}
	}
	if n == 0 || c.forget.Load() {
		return nil, nil
	}
	return []rights.TeamCount{rights.NewTeamCount(testTeam, n)}, nil
}

// State returns the state that the gate has folded.
func (g *gate) State() *fold.State { return g.state.Load() }

// Synced tells that the gate is up to date.
func (g *gate) Synced() bool { return true }

// Handle registers a handler.
func (g *gate) Handle(method string, h peers.Handler) { g.handlers[method] = h }

// Call carries a call over the network in memory.
func (g *gate) Call(ctx context.Context, address, method string, params, result any) error {
	time.Sleep(time.Millisecond)
	slot, _ := strconv.Atoi(address)
	to, fate := g.centre.route(g.slot, slot, method)
	switch {
	case fate == refused:
		return peers.ErrRefused
	case fate == lost:
		<-ctx.Done()
		return peers.ErrNoAnswer
	}
	raw, err := json.Marshal(params)
	assert.NilError(g.centre.t, err)
	answer, err := to.handlers[method](ctx, raw)
	if fate == repeated {
		answer, err = to.handlers[method](ctx, raw)
	}
	if err != nil {
		return err
	}
	if fate == answerLost {
		<-ctx.Done()
		return peers.ErrNoAnswer
	}
	if result == nil {
		return nil
	}
	encoded, err := json.Marshal(answer)
	assert.NilError(g.centre.t, err)
	return json.Unmarshal(encoded, result)
}

type fate int

const (
	delivered fate = iota
	refused
	lost
	answerLost
	repeated
)

func (c *centre) mute(method string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.muted = method
}

func (c *centre) route(from, to int, method string) (*gate, fate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.slots[to]
	switch {
	case c.cut[from] || c.cut[to]:
		return nil, lost
	case g == nil:
		return nil, refused
	case method == c.muted:
		return g, answerLost
	case !c.lossy.Load():
		return g, delivered
	}
	switch p := c.r.Float64(); {
	case p < 0.05:
		return nil, lost
	case p < 0.10:
		return g, answerLost
	case p < 0.20:
		return g, repeated
	default:
		return g, delivered
	}
}

func (g *gate) neighbours() []LocalGate {
	c := g.centre
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []LocalGate
	for slot, there := range c.slots {
		cut := slot != g.slot && (c.cut[slot] || c.cut[g.slot])
		out = append(out, LocalGate{
			Address: strconv.Itoa(slot), Incarnation: c.heard[slot], Self: slot == g.slot,
			Reachable: there != nil && !cut, Refusing: there == nil && !cut,
			Stopping: there != nil && there.stopping.Load(),
		})
	}
	return out
}

// tryStart starts work at the upstreams for the given time if the gate has a right.
func (c *centre) tryStart(slot int, lasts time.Duration) bool {
	g := c.at(slot)
	if g == nil {
		return false
	}
	if !g.service.TryAcquire(testTeam) {
		g.service.Request(testTeam)
		return false
	}
	c.begin(slot, g.process.Incarnation())
	c.finishWork.Go(func() {
		time.Sleep(lasts)
		c.mu.Lock()
		c.running[g.process.Incarnation()]--
		alive := c.slots[slot] == g
		c.mu.Unlock()
		if alive {
			g.service.Release(testTeam)
		}
	})
	return true
}

func (c *centre) begin(slot int, incarnation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[incarnation]++
	c.started[slot]++
	total := 0
	for _, n := range c.running {
		total += n
	}
	if total > c.highest && c.breach == "" {
		c.breach = fmt.Sprintf("%d running, limit %d", total, c.highest)
	}
}

// load starts work at the slots as fast as their rights allow, for the given time.
func (c *centre) load(lasting time.Duration, slots ...int) {
	end := time.Now().Add(lasting)
	for time.Now().Before(end) {
		for _, slot := range slots {
			c.tryStart(slot, time.Duration(20+c.random(200))*time.Millisecond)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (c *centre) random(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.r.IntN(n)
}

// usable returns the rights that the living gates can spend or have spent.
func (c *centre) usable() int {
	n := 0
	for slot := range c.slots {
		if g := c.at(slot); g != nil {
			spent, spare := g.service.Usage(testTeam)
			n += spent + spare
		}
	}
	return n
}

// orphaned returns the running work of gates that are gone.
func (c *centre) orphaned() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for incarnation, running := range c.running {
		if !slices.Contains(c.heard, incarnation) || c.slots[slices.Index(c.heard, incarnation)] == nil {
			n += running
		}
	}
	return n
}
