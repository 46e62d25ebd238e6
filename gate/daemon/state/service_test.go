package state

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"mangowing/core/codes"
	"mangowing/core/fold"
	"mangowing/core/proc"
	"mangowing/core/record"
	"mangowing/gate/peers"
	"mangowing/gate/plat"
)

var errDown = eris.New("down")

// memoryLog is an in-memory log that can be down, lose answers and discard old entries.
type memoryLog struct {
	mu          sync.Mutex
	down        bool
	lostAnswers int
	streams     map[string][][]byte
	oldest      map[string]uint64
}

func newMemoryLog() *memoryLog {
	return &memoryLog{streams: map[string][][]byte{}, oldest: map[string]uint64{}}
}

func (l *memoryLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *memoryLog) Append(_ context.Context, stream string, data []byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, errDown
	}
	l.streams[stream] = append(l.streams[stream], data)
	if l.lostAnswers > 0 {
		l.lostAnswers--
		return 0, errDown
	}
	return uint64(len(l.streams[stream])), nil
}

func (l *memoryLog) Read(ctx context.Context, stream string, from uint64, _ int, wait time.Duration) (plat.Page, error) {
	deadline := time.Now().Add(wait)
	for {
		page, found, err := l.page(stream, from)
		if err != nil || found || time.Now().After(deadline) || ctx.Err() != nil {
			return page, err
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (l *memoryLog) page(stream string, from uint64) (plat.Page, bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return plat.Page{}, false, errDown
	}
	oldest := max(l.oldest[stream], 1)
	var entries []plat.Entry
	for i := max(from, oldest); i <= uint64(len(l.streams[stream])); i++ {
		entries = append(entries, plat.NewEntry(i, 0, l.streams[stream][i-1]))
	}
	return plat.NewPage(oldest, uint64(len(l.streams[stream]))+1, entries), len(entries) > 0, nil
}

// memoryPeers calls the handlers of other services in memory.
type memoryPeers struct {
	mu       *sync.Mutex
	gates    map[string]*memoryPeers
	handlers map[string]peers.Handler
}

func (p *memoryPeers) Handle(method string, h peers.Handler) { p.handlers[method] = h }

func (p *memoryPeers) Call(ctx context.Context, address, method string, params, result any) error {
	p.mu.Lock()
	to, ok := p.gates[address]
	p.mu.Unlock()
	if !ok {
		return peers.ErrRefused
	}
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	answer, err := to.handlers[method](ctx, raw)
	if err != nil || result == nil {
		return err
	}
	raw, err = json.Marshal(answer)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, result)
}

// testDataCentre is a data centre whose gates share one log.
type testDataCentre struct {
	t     *testing.T
	log   *memoryLog
	mu    sync.Mutex
	gates map[string]*memoryPeers
	names []string
}

func newTestDataCentre(t *testing.T) *testDataCentre {
	return &testDataCentre{t: t, log: newMemoryLog(), gates: map[string]*memoryPeers{}}
}

// start runs a gate's state service until the context ends.
func (c *testDataCentre) start(ctx context.Context, name string) *Service {
	process := proc.New(name)
	net := &memoryPeers{mu: &c.mu, gates: c.gates, handlers: map[string]peers.Handler{}}
	s := New(process, c.log, net, Options{AppendWindow: time.Millisecond, SnapshotEvery: 5, SnapshotMaxAge: time.Hour})
	c.mu.Lock()
	c.gates[name] = net
	c.names = append(c.names, name)
	others := append([]string(nil), c.names...)
	c.mu.Unlock()
	s.SetMembershipView(func() *peers.View { return viewOf(name, others) })
	for _, serve := range []func(context.Context) error{
		process.Timers().Serve, s.Serve, s.FollowLog, s.WriteRecords, s.WriteSnapshots, s.PersistWithdrawals,
	} {
		go func() { _ = serve(ctx) }()
	}
	return s
}

func viewOf(self string, names []string) *peers.View {
	var members []peers.Member
	for _, n := range names {
		members = append(members, peers.NewMember(n, "dc-a", n))
	}
	return peers.NewView(members, self)
}

func withdrawal(id string) []record.Record {
	return []record.Record{record.NewWithID(id, "test", 0, record.NewKeyWithdraw(id))}
}

func appendWithdrawals(t *testing.T, s *Service, from, to int) {
	for i := from; i < to; i++ {
		results, err := s.Append(t.Context(), withdrawal(fmt.Sprint("key-", i)))
		assert.NilError(t, err)
		assert.Equal(t, results[0].Code(), codes.OK)
	}
}

func isWithdrawn(st *fold.State, key string) bool {
	k, ok := st.Key(key)
	return ok && k.IsWithdrawn()
}

func runInTestDataCentre(t *testing.T, f func(t *testing.T, ctx context.Context, c *testDataCentre)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Minute)
		}()
		f(t, ctx, newTestDataCentre(t))
	})
}

func TestAppendWithLostAnswerTakesEffectOnce(t *testing.T) {
	runInTestDataCentre(t, func(t *testing.T, ctx context.Context, c *testDataCentre) {
		s := c.start(ctx, "gate-1")
		c.log.lostAnswers = 1
		appendWithdrawals(t, s, 0, 1)
		time.Sleep(5 * time.Second)
		assert.Equal(t, s.State().Revision(), uint64(1))
		assert.Equal(t, s.State().Offset(), uint64(2))
	})
}

func TestStartFromSnapshotWhenLogEntriesAreDiscarded(t *testing.T) {
	runInTestDataCentre(t, func(t *testing.T, ctx context.Context, c *testDataCentre) {
		firstCtx, endFirst := context.WithCancel(ctx)
		appendWithdrawals(t, c.start(firstCtx, "gate-1"), 0, 8)
		time.Sleep(5 * time.Second)
		endFirst()
		c.mu.Lock()
		clear(c.gates)
		c.names = nil
		c.mu.Unlock()
		c.log.mu.Lock()
		c.log.oldest[StreamControl] = 6
		c.log.mu.Unlock()
		late := c.start(ctx, "gate-2")
		time.Sleep(10 * time.Second)
		assert.Assert(t, late.IsSynced())
		assert.Assert(t, isWithdrawn(late.State(), "key-0"), "a record older than the oldest log entry must come from the snapshot")
	})
}

func TestStartDuringLogOutageAdoptsPeerState(t *testing.T) {
	runInTestDataCentre(t, func(t *testing.T, ctx context.Context, c *testDataCentre) {
		first := c.start(ctx, "gate-1")
		appendWithdrawals(t, first, 0, 3)
		c.log.setDown(true)
		late := c.start(ctx, "gate-2")
		time.Sleep(10 * time.Second)
		assert.Assert(t, late.IsSynced())
		assert.Equal(t, late.State().Digest(), first.State().Digest())
	})
}

func TestStartWithoutLogAndPeersIsNotSynced(t *testing.T) {
	runInTestDataCentre(t, func(t *testing.T, ctx context.Context, c *testDataCentre) {
		c.log.setDown(true)
		s := c.start(ctx, "gate-1")
		time.Sleep(10 * time.Second)
		assert.Assert(t, !s.IsSynced())
	})
}

func TestWithdrawalIsLoggedAfterOutage(t *testing.T) {
	runInTestDataCentre(t, func(t *testing.T, ctx context.Context, c *testDataCentre) {
		s := c.start(ctx, "gate-1")
		time.Sleep(2 * time.Second)
		c.log.setDown(true)
		s.Withdraw(ctx, "key-0")
		assert.Assert(t, s.IsWithdrawn("key-0"))
		time.Sleep(5 * time.Second)
		c.log.setDown(false)
		time.Sleep(10 * time.Second)
		assert.Assert(t, isWithdrawn(s.State(), "key-0"))
	})
}
