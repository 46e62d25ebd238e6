package plan

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/core/codes"
	"mangowing/core/fleet"
	"mangowing/core/fold"
	"mangowing/core/proc"
	"mangowing/core/record"
)

const (
	appendDuration = 20 * time.Millisecond
	rebootDuration = 20 * time.Second
	wavePace       = 2
)

var errLost = errors.New("answer lost")

// testCluster is the log, the platform and the VM list, shared by all planners of a test.
type testCluster struct {
	mu          sync.Mutex
	t           *testing.T
	folder      *fold.Folder
	state       *fold.State
	rows        []fleet.VMRow
	calls       map[string]bool
	reboots     map[string]int
	minServing  int
	seenTokens  map[uint64]bool
	lossy       bool // lose half of the answers, after the call took effect
	random      *rand.Rand
	logDown     bool
	fencedCount int
}

func newCluster(t *testing.T) *testCluster {
	c := &testCluster{
		t: t, folder: fold.NewFolder(), calls: map[string]bool{}, reboots: map[string]int{}, seenTokens: map[uint64]bool{}, minServing: 10,
		random: rand.New(rand.NewPCG(1, 2)),
	}
	c.apply([]record.Record{record.New("operator", 0, record.NewChange([]record.Object{
		record.NewObject("fleet", "vlnka", 0).WithField("data-centres", "a").WithField("planner-lease", "6s").WithField("spare-pool", "spare"),
		record.NewObject("pool", "pour", 0).WithField("vms", "pour-[01-10]").WithField("min-serving", "8"),
		record.NewObject("pool", "spare", 0).WithField("vms", "spare-[01-10]").WithField("min-serving", "2"),
		record.NewObject("wave", "autumn", 0).WithField("pools", "pour").WithField("pace", "2").WithField("min-serving", "1"),
	}, ""))})
	for i := range 20 {
		pool := []string{"pour", "spare"}[i/10]
		c.rows = append(c.rows, fleet.NewVMRow(fleet.VMRowSpec{
			Name: fmt.Sprintf("%s-%02d", pool, i%10+1), DataCentre: "a", Rack: fmt.Sprint(i / 4),
			Generation: 1, State: fleet.PlatformLive, Pool: pool, Slots: 8,
		}))
	}
	return c
}

func (c *testCluster) apply(records []record.Record) []fold.Result {
	data, err := record.EncodeBatch(records)
	assert.NilError(c.t, err)
	verdicts, err := c.folder.Apply(c.folder.Offset()+1, data)
	assert.NilError(c.t, err)
	for _, v := range verdicts {
		if v.Code() == codes.FencedOff {
			c.fencedCount++
		}
	}
	c.state = c.folder.Publish()
	c.seenTokens[c.state.Lease().Token()] = true
	c.minServing = min(c.minServing, c.state.Serving("pour"))
	return verdicts
}

func (c *testCluster) applyAsOperator(body record.Body) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.apply([]record.Record{record.New("operator", 0, body)})
	assert.Equal(c.t, v[0].Code(), codes.OK, v[0].Detail())
}

func (c *testCluster) isAnswerLost() bool {
	return c.lossy && c.random.IntN(2) == 0
}

func (c *testCluster) State() *fold.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

func (c *testCluster) Append(_ context.Context, records []record.Record) ([]fold.Result, error) {
	time.Sleep(appendDuration)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.logDown {
		return nil, errLost
	}
	verdicts := c.apply(records)
	if c.isAnswerLost() {
		return nil, errLost
	}
	return verdicts, nil
}

func (c *testCluster) call(requestID string, effect func()) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.calls[requestID] {
		c.calls[requestID] = true
		effect()
	}
	if c.isAnswerLost() {
		return errLost
	}
	return nil
}

func (c *testCluster) Reboot(_ context.Context, vm string, generation uint64, requestID string) error {
	return c.call(requestID, func() {
		c.reboots[vm]++
		time.AfterFunc(rebootDuration, func() { c.editRow(vm, func(s *fleet.VMRowSpec) { s.Generation = generation + 1 }) })
	})
}

func (c *testCluster) Reassign(_ context.Context, vm string, _ uint64, requestID, pool string) error {
	return c.call(requestID, func() { go c.editRow(vm, func(s *fleet.VMRowSpec) { s.Pool = pool }) })
}

func (c *testCluster) Fence(_ context.Context, _ string, _ uint64, requestID string) error {
	return c.call(requestID, func() {})
}

func (c *testCluster) editRow(vm string, edit func(*fleet.VMRowSpec)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rows := make([]fleet.VMRow, 0, len(c.rows))
	for _, r := range c.rows {
		spec := fleet.VMRowSpec{
			Name: r.Name(), DataCentre: r.DataCentre(), Rack: r.Rack(), Generation: r.Generation(),
			State: r.State(), Pool: r.Pool(), Slots: r.Slots(),
		}
		if r.Name() == vm {
			edit(&spec)
		}
		rows = append(rows, fleet.NewVMRow(spec))
	}
	c.rows = rows
}

func (c *testCluster) VMRows() []fleet.VMRow {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rows
}

func (c *testCluster) DrainAcks(context.Context, string, uint64) (all bool, running int, err error) {
	return true, 0, nil
}

func (c *testCluster) Health() []fleet.Health { return nil }

func (c *testCluster) Demand() []fleet.PoolDemand { return nil }

// testGate runs one planner, which can be paused and killed.
type testGate struct {
	*testCluster
	kill              context.CancelFunc
	mu                sync.Mutex
	listPausedUntil   time.Time // pause until then when it reads the VM list
	appendPausedUntil time.Time // pause until then when it appends
}

func startGate(c *testCluster, name string) *testGate {
	ctx, cancel := context.WithCancel(context.Background())
	g := &testGate{testCluster: c, kill: cancel}
	c.t.Cleanup(cancel)
	process := proc.New(name)
	go func() { _ = process.Timers().Serve(ctx) }()
	go func() {
		_ = New(Deps{Process: process, State: c, Recorder: g, Platform: c, Fleet: g}).Serve(ctx)
	}()
	return g
}

// pause delays the gate's next read of the VM list and its next append.
func (g *testGate) pause(d time.Duration) {
	g.pauseAtList(d)
	g.pauseAtAppend(d)
}

func (g *testGate) pauseAtList(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listPausedUntil = time.Now().Add(d)
}

func (g *testGate) pauseAtAppend(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.appendPausedUntil = time.Now().Add(d)
}

func (g *testGate) waitUntil(resume *time.Time) {
	g.mu.Lock()
	d := time.Until(*resume)
	g.mu.Unlock()
	time.Sleep(d)
}

// VMRows pauses between the check of the lease and the plan.
func (g *testGate) VMRows() []fleet.VMRow {
	g.waitUntil(&g.listPausedUntil)
	return g.testCluster.VMRows()
}

// Append pauses after the last check of the lease.
func (g *testGate) Append(ctx context.Context, records []record.Record) ([]fold.Result, error) {
	if _, step := records[0].Body().(record.VMStep); step {
		g.waitUntil(&g.appendPausedUntil)
	}
	return g.testCluster.Append(ctx, records)
}
