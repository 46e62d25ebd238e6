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

// cluster simulates three gates with their network, the log and the upstreams in memory.
type cluster struct {
	t            *testing.T
	mu           sync.Mutex
	nodes        []*node
	incarnations []string
	isolated     map[int]bool
	lostMethod   string // the method whose answers are lost, empty for none
	folder       *fold.Folder
	state        *fold.State
	endSeen      time.Time
	logMode      logMode
	delayed      []record.Record // appends that take effect when the log is up again
	starts       map[string]int  // by request body
	nextCode     codes.Code      // the result code of the next run
	workerReport string          // what the worker reports, empty if it does not answer
}

type logMode int

const (
	logUp logMode = iota
	logDown
	logLosesAnswers // appends are not answered
	logLate         // appends are not answered and take effect when the log is up again
	logFull         // no more claims can be stored
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

func runInCluster(t *testing.T, body func(c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{
			t: t, nodes: make([]*node, 3), incarnations: make([]string, 3), isolated: map[int]bool{},
			folder: fold.NewFolder(), starts: map[string]int{}, endSeen: time.Now(),
		}
		c.state = c.folder.Publish()
		for slot := range c.nodes {
			c.start(slot)
		}
		time.Sleep(5 * time.Second)
		c.endSeen = time.Now()
		body(c)
		for slot := range c.nodes {
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
	c.nodes[slot], c.incarnations[slot] = n, n.process.Incarnation()
	c.mu.Unlock()
	go func() { _ = n.process.Timers().Serve(n.ctx) }()
	go func() { _ = n.service.Serve(n.ctx) }()
}

func (c *cluster) kill(slot int) {
	c.mu.Lock()
	n := c.nodes[slot]
	c.nodes[slot] = nil
	c.mu.Unlock()
	if n != nil {
		n.cancel()
	}
}

func (c *cluster) node(slot int) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[slot]
}

func (c *cluster) setLog(mode logMode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logMode = mode
	if mode == logUp {
		c.fold(c.delayed)
		c.delayed = nil
	}
}

// fold appends and folds the records and publishes the state. The caller must hold mu.
func (c *cluster) fold(records []record.Record) []fold.Result {
	data, err := record.EncodeBatch(records)
	assert.NilError(c.t, err)
	results, err := c.folder.Apply(c.folder.Offset()+1, data)
	assert.NilError(c.t, err)
	c.state, c.endSeen = c.folder.Publish(), time.Now()
	return results
}

// State returns the folded state.
func (n *node) State() *fold.State {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.cluster.state
}

// StalenessMs returns the milliseconds since the end of the log was last read.
func (n *node) StalenessMs() int64 {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	if n.cluster.logMode == logUp {
		return 0
	}
	return time.Since(n.cluster.endSeen).Milliseconds()
}

// Append appends records according to the log's mode.
func (n *node) Append(ctx context.Context, records []record.Record) ([]fold.Result, error) {
	c := n.cluster
	time.Sleep(time.Millisecond)
	c.mu.Lock()
	mode := c.logMode
	var results []fold.Result
	switch mode {
	case logUp:
		results = c.fold(records)
	case logFull:
		results = []fold.Result{fold.NewResult(records[0].ID(), codes.ClaimsFull, "")}
	case logLosesAnswers, logLate:
		c.delayed = append(c.delayed, records...)
	}
	c.mu.Unlock()
	if mode == logUp || mode == logFull {
		return results, nil
	}
	<-ctx.Done()
	return nil, codes.Errorf(codes.LogUnavailable, "no answer from the log")
}

// Handle registers a handler.
func (n *node) Handle(method string, h peers.Handler) { n.handlers[method] = h }

// Call delivers a call over the in-memory network.
func (n *node) Call(ctx context.Context, address, method string, params, result any) error {
	time.Sleep(time.Millisecond)
	slot, _ := strconv.Atoi(address)
	c := n.cluster
	c.mu.Lock()
	to, isolated, answerLost := c.nodes[slot], c.isolated[slot] || c.isolated[n.slot], c.lostMethod == method
	c.mu.Unlock()
	switch {
	case n.ctx.Err() != nil: // a killed process makes no more calls
		return peers.ErrNoAnswer
	case isolated:
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
		if answerLost {
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
	for slot, other := range c.nodes {
		isolated := slot != n.slot && (c.isolated[slot] || c.isolated[n.slot])
		out = append(out, Gate{
			Address: strconv.Itoa(slot), DataCentre: "north", Incarnation: c.incarnations[slot], Self: slot == n.slot,
			Reachable: other != nil && !isolated, Refusing: other == nil && !isolated, Stopping: other != nil && other.stopping,
		})
	}
	return out
}

// run simulates the upstream: it counts starts and echoes the body.
func (n *node) run(ctx context.Context, r Request, sink relay.Sink) Outcome {
	c := n.cluster
	c.mu.Lock()
	code := c.nextCode
	c.nextCode = codes.OK
	if code.Entry().Outcome() != codes.NotRun {
		c.starts[string(r.Spec().Body)]++
	}
	c.mu.Unlock()
	time.Sleep(runTime)
	if n.ctx.Err() != nil || ctx.Err() != nil || code != codes.OK {
		return NewOutcome(code, "", false).WithAttempt("vm-1", "attempt-1")
	}
	sink.Begin(http.StatusOK, http.Header{"Content-Type": {"text/plain"}}, "request-1")
	_, _ = sink.Write([]byte("done: " + string(r.Spec().Body)))
	return NewOutcome(codes.OK, "", true)
}

// report returns the worker's report on attempt-1, or an error unless the scenario sets one.
func (n *node) report(_ context.Context, vm, attempt string) (string, error) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	assert.Check(n.cluster.t, vm == "vm-1" && attempt == "attempt-1")
	if n.cluster.workerReport == "" {
		return "", peers.ErrNoAnswer
	}
	return n.cluster.workerReport, nil
}

func (c *cluster) startsOf(body string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts[body]
}

// response is what a caller receives.
type response struct {
	bytes.Buffer
	status int
}

// Begin stores the status.
func (r *response) Begin(status int, _ http.Header, _ string) { r.status = status }

// send has a gate serve the request and returns the answer's body, or the code's name and outcome.
func (c *cluster) send(slot int, r RequestSpec) string {
	n := c.node(slot)
	if n == nil {
		return "connection refused"
	}
	r.Team, r.Queue, r.Timeout = "paint", "orders", callTimeout
	got := &response{}
	outcome := n.service.Do(n.ctx, NewRequest(r), got)
	if outcome.Code() == codes.OK {
		return got.String()
	}
	e := outcome.Code().Entry()
	return e.Name() + " " + e.Outcome().String()
}

// sendAll sends the request to every gate concurrently.
func (c *cluster) sendAll(r RequestSpec) []string {
	out := make([]string, len(c.nodes))
	var wg sync.WaitGroup
	for slot := range c.nodes {
		wg.Go(func() { out[slot] = c.send(slot, r) })
	}
	wg.Wait()
	return out
}
