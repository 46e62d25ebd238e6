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
	appendTakes = 20 * time.Millisecond
	rebootTakes = 20 * time.Second
	wavePace    = 2
)

var errLost = errors.New("answer lost")

// cluster is the log, the platform and the gates' view of the VMs, shared by all planners of a test.
type cluster struct {
	mu      sync.Mutex
	t       *testing.T
	folder  *fold.Folder
	state   *fold.State
	rows    []fleet.VMRow
	calls   map[string]bool
	reboots map[string]int
	worst   int
	tokens  map[uint64]bool
	lossy   bool // half of the answers are lost after the call took effect
	random  *rand.Rand
	logDown bool
	fencedN int
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{
		t: t, folder: fold.NewFolder(), calls: map[string]bool{}, reboots: map[string]int{}, tokens: map[uint64]bool{}, worst: 10,
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

func (c *cluster) apply(records []record.Record) []fold.Result {
	data, err := record.EncodeBatch(records)
	assert.NilError(c.t, err)
	verdicts, err := c.folder.Apply(c.folder.Offset()+1, data)
	assert.NilError(c.t, err)
	for _, v := range verdicts {
		if v.Code() == codes.FencedOff {
			c.fencedN++
		}
	}
	c.state = c.folder.Publish()
	c.tokens[c.state.Lease().Token()] = true
	c.worst = min(c.worst, c.state.Serving("pour"))
	return verdicts
}

func (c *cluster) operate(body record.Body) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.apply([]record.Record{record.New("operator", 0, body)})
	assert.Equal(c.t, v[0].Code(), codes.OK, v[0].Detail())
}

func (c *cluster) lost() bool {
	return c.lossy && c.random.IntN(2) == 0
}

func (c *cluster) State() *fold.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

func (c *cluster) Append(_ context.Context, records []record.Record) ([]fold.Result, error) {
	time.Sleep(appendTakes)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.logDown {
		return nil, errLost
	}
	verdicts := c.apply(records)
	if c.lost() {
		return nil, errLost
	}
	return verdicts, nil
}

func (c *cluster) call(requestID string, effect func()) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.calls[requestID] {
		c.calls[requestID] = true
		effect()
	}
	if c.lost() {
		return errLost
	}
	return nil
}

func (c *cluster) Reboot(_ context.Context, vm string, generation uint64, requestID string) error {
	return c.call(requestID, func() {
		c.reboots[vm]++
		time.AfterFunc(rebootTakes, func() { c.change(vm, func(s *fleet.VMRowSpec) { s.Generation = generation + 1 }) })
	})
}

func (c *cluster) Reassign(_ context.Context, vm string, _ uint64, requestID, pool string) error {
	return c.call(requestID, func() { go c.change(vm, func(s *fleet.VMRowSpec) { s.Pool = pool }) })
}

func (c *cluster) Fence(_ context.Context, _ string, _ uint64, requestID string) error {
	return c.call(requestID, func() {})
}

func (c *cluster) change(vm string, edit func(*fleet.VMRowSpec)) {
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

func (c *cluster) VMRows() []fleet.VMRow {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rows
}

func (c *cluster) DrainAcks(context.Context, string, uint64) (all bool, running int, err error) {
	return true, 0, nil
}

func (c *cluster) Health() []fleet.Health { return nil }

func (c *cluster) Demand() []fleet.PoolDemand { return nil }

// gate runs one planner; its process can be paused and killed.
type gate struct {
	*cluster
	kill     context.CancelFunc
	mu       sync.Mutex
	atList   time.Time // paused until then when it looks at the VM list
	atAppend time.Time // paused until then when it appends
}

func startGate(c *cluster, name string) *gate {
	ctx, cancel := context.WithCancel(context.Background())
	g := &gate{cluster: c, kill: cancel}
	c.t.Cleanup(cancel)
	process := proc.New(name)
	go func() { _ = process.Timers().Serve(ctx) }()
	go func() {
		_ = New(Deps{Process: process, State: c, Recorder: g, Platform: c, Fleet: g}).Serve(ctx)
	}()
	return g
}

// pause stops the gate for a while at its next look at the VM list or its next append.
func (g *gate) pause(d time.Duration) {
	g.pauseAtList(d)
	g.pauseAtAppend(d)
}

func (g *gate) pauseAtList(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.atList = time.Now().Add(d)
}

func (g *gate) pauseAtAppend(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.atAppend = time.Now().Add(d)
}

func (g *gate) waitUntil(resume *time.Time) {
	g.mu.Lock()
	d := time.Until(*resume)
	g.mu.Unlock()
	time.Sleep(d)
}

// VMRows stops a paused gate between its look at the lease and its plan.
func (g *gate) VMRows() []fleet.VMRow {
	g.waitUntil(&g.atList)
	return g.cluster.VMRows()
}

// Append stops a paused gate after its last look at the lease.
func (g *gate) Append(ctx context.Context, records []record.Record) ([]fold.Result, error) {
	if _, step := records[0].Body().(record.VMStep); step {
		g.waitUntil(&g.atAppend)
	}
	return g.cluster.Append(ctx, records)
}
