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
	testTeam       = "paint"
	testDC         = "north"
	testSettleTime = 3 * time.Second
	recoveryTime   = 5 * time.Second
)

// testCentre is an in-memory data centre: gates at fixed addresses, their network and the upstreams.
type testCentre struct {
	t                *testing.T
	r                *rand.Rand
	mu               sync.Mutex
	slots            []*testGate
	lastIncarnations []string // the last incarnation at each address
	partitioned      map[int]bool
	lossy            atomic.Bool
	mutedMethod      string      // method whose answers are lost
	laggingSlot      int         // slot of the gate that does not receive new states, -1 for none
	hideOrphans      atomic.Bool // injected fault: work of gone gates is not reported
	running          map[string]int
	folder           *fold.Folder
	limit            int
	revision         uint64
	maxLimit         int // the highest limit that may still apply
	violation        string
	startCounts      map[int]int
	work             sync.WaitGroup
}

// testGate is one incarnation at an address.
type testGate struct {
	centre   *testCentre
	slot     int
	process  *proc.Process
	service  *Service
	handlers map[string]peers.Handler
	state    atomic.Pointer[fold.State]
	stopping atomic.Bool
	cancel   context.CancelFunc
	ended    chan struct{}
}

// runInCentre runs the body with a data centre of three gates in virtual time and checks that the limit was never
// exceeded.
func runInCentre(t *testing.T, limit int, body func(c *testCentre)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &testCentre{
			t: t, r: rand.New(rand.NewPCG(11, uint64(limit))), slots: make([]*testGate, 3), lastIncarnations: make([]string, 3),
			partitioned: map[int]bool{}, laggingSlot: -1, running: map[string]int{}, folder: fold.NewFolder(), startCounts: map[int]int{},
		}
		c.setLimit(limit)
		for slot := range c.slots {
			c.start(slot)
		}
		body(c)
		for slot := range c.slots {
			c.kill(slot)
		}
		c.work.Wait()
		assert.Equal(t, c.violation, "")
	})
}

// setLimit folds a change of the team's limit and publishes it to every gate.
func (c *testCentre) setLimit(limit int) {
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
	c.maxLimit = max(c.maxLimit, limit)
	c.mu.Unlock()
	published := c.folder.Publish()
	for slot := range c.slots {
		if slot != c.laggingSlot {
			c.publish(slot, published)
		}
	}
}

func (c *testCentre) publish(slot int, state *fold.State) {
	if g := c.gateAt(slot); g != nil {
		g.state.Store(state)
	}
}

func (c *testCentre) start(slot int) {
	g := &testGate{centre: c, slot: slot, process: proc.New(fmt.Sprint("gate-", slot)), handlers: map[string]peers.Handler{}}
	g.state.Store(c.folder.Publish())
	g.service = New(Deps{
		Process: g.process, States: g, Peers: g, LocalGates: g.localGates, Orphans: c, DataCentre: testDC, SettleTime: testSettleTime,
	})
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel, g.ended = cancel, make(chan struct{})
	c.mu.Lock()
	c.slots[slot], c.lastIncarnations[slot] = g, g.process.Incarnation()
	c.mu.Unlock()
	go func() { _ = g.process.Timers().Serve(ctx) }()
	go func() {
		_ = g.service.Serve(ctx)
		close(g.ended)
	}()
}

// kill ends a gate; the work that it started continues.
func (c *testCentre) kill(slot int) {
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

func (c *testCentre) gateAt(slot int) *testGate {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.slots[slot]
}

func (c *testCentre) setPartitioned(slot int, partitioned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitioned[slot] = partitioned
}

// Orphans counts the running work of all but the counted incarnations.
func (c *testCentre) Orphans(_ context.Context, counted []string) ([]rights.TeamCount, error) {
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
	if n == 0 || c.hideOrphans.Load() {
		return nil, nil
	}
	return []rights.TeamCount{rights.NewTeamCount(testTeam, n)}, nil
}

// State returns the state that the gate has folded.
func (g *testGate) State() *fold.State { return g.state.Load() }

// IsSynced reports that the gate is up to date.
func (g *testGate) IsSynced() bool { return true }

// Handle registers a handler.
func (g *testGate) Handle(method string, h peers.Handler) { g.handlers[method] = h }

// Call delivers a call over the in-memory network.
func (g *testGate) Call(ctx context.Context, address, method string, params, result any) error {
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

type delivery int

const (
	delivered delivery = iota
	refused
	lost
	answerLost
	repeated
)

func (c *testCentre) mute(method string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mutedMethod = method
}

func (c *testCentre) route(from, to int, method string) (*testGate, delivery) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.slots[to]
	switch {
	case c.partitioned[from] || c.partitioned[to]:
		return nil, lost
	case g == nil:
		return nil, refused
	case method == c.mutedMethod:
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

func (g *testGate) localGates() []LocalGate {
	c := g.centre
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []LocalGate
	for slot, current := range c.slots {
		cut := slot != g.slot && (c.partitioned[slot] || c.partitioned[g.slot])
		out = append(out, LocalGate{
			Address: strconv.Itoa(slot), Incarnation: c.lastIncarnations[slot], Self: slot == g.slot,
			Reachable: current != nil && !cut, Refusing: current == nil && !cut,
			Stopping: current != nil && current.stopping.Load(),
		})
	}
	return out
}

// tryStart acquires a right at the gate and runs work of the given duration. It requests a right if there is none.
func (c *testCentre) tryStart(slot int, duration time.Duration) bool {
	g := c.gateAt(slot)
	if g == nil {
		return false
	}
	if !g.service.TryAcquire(testTeam) {
		g.service.Request(testTeam)
		return false
	}
	c.recordStart(slot, g.process.Incarnation())
	c.work.Go(func() {
		time.Sleep(duration)
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

func (c *testCentre) recordStart(slot int, incarnation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[incarnation]++
	c.startCounts[slot]++
	total := 0
	for _, n := range c.running {
		total += n
	}
	if total > c.maxLimit && c.violation == "" {
		c.violation = fmt.Sprintf("%d running, limit %d", total, c.maxLimit)
	}
}

// generateLoad starts work at the gates as fast as their rights allow, for the given time.
func (c *testCentre) generateLoad(duration time.Duration, slots ...int) {
	end := time.Now().Add(duration)
	for time.Now().Before(end) {
		for _, slot := range slots {
			c.tryStart(slot, time.Duration(20+c.random(200))*time.Millisecond)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (c *testCentre) random(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.r.IntN(n)
}

// usableRights returns the rights of all live gates, in use or available.
func (c *testCentre) usableRights() int {
	n := 0
	for slot := range c.slots {
		if g := c.gateAt(slot); g != nil {
			inUse, available := g.service.Usage(testTeam)
			n += inUse + available
		}
	}
	return n
}

// orphanedWork returns the running work of gates that are gone.
func (c *testCentre) orphanedWork() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for incarnation, running := range c.running {
		if !slices.Contains(c.lastIncarnations, incarnation) || c.slots[slices.Index(c.lastIncarnations, incarnation)] == nil {
			n += running
		}
	}
	return n
}
