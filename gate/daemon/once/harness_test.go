package once

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/core/codes"
	"mangowing/core/fold"
	"mangowing/core/proc"
	"mangowing/core/record"
	"mangowing/gate/daemon/relay"
	"mangowing/gate/peers"
)

const (
	runTime     = 100 * time.Millisecond
	callTimeout = 10 * time.Second
)

// cluster is three gates in memory with their network, the log and the upstreams.
type cluster struct {
	t       *testing.T
	mu      sync.Mutex
	slots   []*node
	heard   []string
	cut     map[int]bool
	muted   string // the method whose answers are lost
	folder  *fold.Folder
	state   *fold.State
	tipSeen time.Time
	logMode logMode
	late    []record.Record // appends that take effect when the log is back
	starts  map[string]int  // by body
	next    codes.Code      // how the next run ends
	worker  string          // what the worker reports, empty where it is silent
}

type logMode int

const (
	logUp logMode = iota
	logDown
	logLosesAnswers // appends take effect at once, unanswered and unread
	logLate         // appends take effect when the log is back
	logFull         // no more claims can be kept
)

type node struct {
	cluster  *cluster
	slot     int
	process  *proc.Process
	service  *Service
	handlers map[string]peers.Handler
	stopping bool
	cancel   context.CancelFunc
	ctx      context.Context
}

func inCluster(t *testing.T, body func(c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{
			t: t, slots: make([]*node, 3), heard: make([]string, 3), cut: map[int]bool{},
			folder: fold.NewFolder(), starts: map[string]int{}, tipSeen: time.Now(),
		}
		c.state = c.folder.Publish()
		for slot := range c.slots {
			c.start(slot)
		}
		time.Sleep(5 * time.Second)
		c.tipSeen = time.Now()
		body(c)
		for slot := range c.slots {
			c.kill(slot)
		}
		synctest.Wait()
		time.Sleep(time.Minute)
	})
}

func (c *cluster) start(slot int) {
	n := &node{cluster: c, slot: slot, process: proc.New(fmt.Sprint("gate-", slot)), handlers: map[string]peers.Handler{}}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.service = New(Deps{
		Process: n.process, StateSource: n, Log: n, Peers: n, Gates: n.gates, Run: n.run, Report: n.report, MaxAnswerBytes: 1 << 10,
	})
	c.mu.Lock()
	c.slots[slot], c.heard[slot] = n, n.process.Incarnation()
	c.mu.Unlock()
	go func() { _ = n.process.Timers().Serve(n.ctx) }()
	go func() { _ = n.service.Serve(n.ctx) }()
}

func (c *cluster) kill(slot int) {
	c.mu.Lock()
	n := c.slots[slot]
	c.slots[slot] = nil
	c.mu.Unlock()
	if n != nil {
		n.cancel()
	}
}

func (c *cluster) at(slot int) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.slots[slot]
}

func (c *cluster) setLog(mode logMode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logMode = mode
	if mode == logUp {
		c.fold(c.late)
		c.late = nil
	}
}

// fold appends records and publishes; the caller holds the lock.
func (c *cluster) fold(records []record.Record) []fold.Result {
	data, err := record.EncodeBatch(records)
	assert.NilError(c.t, err)
	verdicts, err := c.folder.Apply(c.folder.Offset()+1, data)
	assert.NilError(c.t, err)
	c.state, c.tipSeen = c.folder.Publish(), time.Now()
	return verdicts
}

// State returns the folded state.
func (n *node) State() *fold.State {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.cluster.state
}

// StalenessMs returns how long ago the end of the log was seen.
func (n *node) StalenessMs() int64 {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	if n.cluster.logMode == logUp {
		return 0
	}
	return time.Since(n.cluster.tipSeen).Milliseconds()
}

// Append writes records in the way of the log's present mode.
func (n *node) Append(ctx context.Context, records []record.Record) ([]fold.Result, error) {
	c := n.cluster
	time.Sleep(time.Millisecond)
	c.mu.Lock()
	mode := c.logMode
	var verdicts []fold.Result
	switch mode {
	case logUp:
		verdicts = c.fold(records)
	case logFull:
		verdicts = []fold.Result{fold.NewResult(records[0].ID(), codes.ClaimsFull, "")}
	case logLosesAnswers, logLate:
		c.late = append(c.late, records...)
	}
	c.mu.Unlock()
	if mode == logUp || mode == logFull {
		return verdicts, nil
	}
	<-ctx.Done()
	return nil, codes.Errorf(codes.LogUnavailable, "no answer from the log")
}

// Handle registers a handler.
func (n *node) Handle(method string, h peers.Handler) { n.handlers[method] = h }

// Call carries a call over the network in memory.
func (n *node) Call(ctx context.Context, address, method string, params, result any) error {
	time.Sleep(time.Millisecond)
	slot, _ := strconv.Atoi(address)
	c := n.cluster
	c.mu.Lock()
	to, cut, muted := c.slots[slot], c.cut[slot] || c.cut[n.slot], c.muted == method
	c.mu.Unlock()
	switch {
	case n.ctx.Err() != nil: // a killed process says nothing more
		return peers.ErrNoAnswer
	case cut:
		<-ctx.Done()
		return peers.ErrNoAnswer
	case to == nil:
		return peers.ErrRefused
	}
	raw, err := json.Marshal(params)
	assert.NilError(c.t, err)
	answered := make(chan any, 1)
	go func() {
		answer, err := to.handlers[method](to.ctx, raw)
		assert.Check(c.t, err)
		answered <- answer
	}()
	select {
	case <-to.ctx.Done():
		return peers.ErrNoAnswer
	case <-ctx.Done():
		return peers.ErrNoAnswer
	case answer := <-answered:
		if muted {
			<-ctx.Done()
			return peers.ErrNoAnswer
		}
		encoded, err := json.Marshal(answer)
		assert.NilError(c.t, err)
		if result == nil {
			return nil
		}
		return json.Unmarshal(encoded, result)
	}
}

func (n *node) gates() []Gate {
	c := n.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Gate
	for slot, there := range c.slots {
		cut := slot != n.slot && (c.cut[slot] || c.cut[n.slot])
		out = append(out, Gate{
			Address: strconv.Itoa(slot), DataCentre: "north", Incarnation: c.heard[slot], Self: slot == n.slot,
			Reachable: there != nil && !cut, Refusing: there == nil && !cut, Stopping: there != nil && there.stopping,
		})
	}
	return out
}

// run is the upstream: it counts starts and echoes the body.
func (n *node) run(ctx context.Context, r Request, sink relay.Sink) Outcome {
	c := n.cluster
	c.mu.Lock()
	ends := c.next
	c.next = codes.OK
	if ends.Entry().Outcome() != codes.NotRun {
		c.starts[string(r.Spec().Body)]++
	}
	c.mu.Unlock()
	time.Sleep(runTime)
	if n.ctx.Err() != nil || ctx.Err() != nil || ends != codes.OK {
		return NewOutcome(ends, "", false).WithAttempt("vm-1", "attempt-1")
	}
	sink.Begin(http.StatusOK, http.Header{"Content-Type": {"text/plain"}}, "request-1")
	_, _ = sink.Write([]byte("done: " + string(r.Spec().Body)))
	return NewOutcome(codes.OK, "", true)
}

// report is the worker's own word about attempt-1, none unless the scenario sets one.
func (n *node) report(_ context.Context, vm, attempt string) (string, error) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	assert.Check(n.cluster.t, vm == "vm-1" && attempt == "attempt-1")
	if n.cluster.worker == "" {
		return "", peers.ErrNoAnswer
	}
	return n.cluster.worker, nil
}

func (c *cluster) startsOf(body string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts[body]
}

// page is what a caller gets.
type page struct {
	bytes.Buffer
	status int
}

// Begin notes the status.
func (p *page) Begin(status int, _ http.Header, _ string) { p.status = status }

// send lets a gate serve the request; the text is the answer, or the code's name and outcome.
func (c *cluster) send(slot int, r RequestSpec) string {
	n := c.at(slot)
	if n == nil {
		return "connection refused"
	}
	r.Team, r.Queue, r.Timeout = "paint", "orders", callTimeout
	got := &page{}
	outcome := n.service.Do(n.ctx, NewRequest(r), got)
	if outcome.Code() == codes.OK {
		return got.String()
	}
	e := outcome.Code().Entry()
	return e.Name() + " " + e.Outcome().String()
}

// sendAll sends the request to every gate at once.
func (c *cluster) sendAll(r RequestSpec) []string {
	out := make([]string, len(c.slots))
	var wg sync.WaitGroup
	for slot := range c.slots {
		wg.Go(func() { out[slot] = c.send(slot, r) })
	}
	wg.Wait()
	return out
}
