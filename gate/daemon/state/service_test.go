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

// memoryLog is a log in memory that can be down, lose answers and forget old entries.
type memoryLog struct {
	mu      sync.Mutex
	down    bool
	lose    int
	streams map[string][][]byte
	oldest  map[string]uint64
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
	if l.lose > 0 {
		l.lose--
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

// memoryPeers calls other services' handlers in memory.
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

// cell is a data centre of gates around one log.
type cell struct {
	t     *testing.T
	log   *memoryLog
	mu    sync.Mutex
	gates map[string]*memoryPeers
	known []string
}

func newCell(t *testing.T) *cell {
	return &cell{t: t, log: newMemoryLog(), gates: map[string]*memoryPeers{}}
}

// start runs a gate's control parts until the context ends.
func (c *cell) start(ctx context.Context, name string) *Service {
	process := proc.New(name)
	net := &memoryPeers{mu: &c.mu, gates: c.gates, handlers: map[string]peers.Handler{}}
	s := New(process, c.log, net, Options{AppendWindow: time.Millisecond, SnapshotEvery: 5, SnapshotMaxAge: time.Hour})
	c.mu.Lock()
	c.gates[name] = net
	c.known = append(c.known, name)
	others := append([]string(nil), c.known...)
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

func appendKeys(t *testing.T, s *Service, from, to int) {
	for i := from; i < to; i++ {
		verdicts, err := s.Append(t.Context(), withdrawal(fmt.Sprint("key-", i)))
		assert.NilError(t, err)
		assert.Equal(t, verdicts[0].Code(), codes.OK)
	}
}

func has(st *fold.State, key string) bool {
	k, ok := st.Key(key)
	return ok && k.IsWithdrawn()
}

func inBubble(t *testing.T, f func(t *testing.T, ctx context.Context, c *cell)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Minute)
		}()
		f(t, ctx, newCell(t))
	})
}

func TestAppendWhoseAnswerWasLostIsInForceOnce(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, c *cell) {
		s := c.start(ctx, "gate-1")
		c.log.lose = 1
		appendKeys(t, s, 0, 1)
		time.Sleep(5 * time.Second)
		assert.Equal(t, s.State().Revision(), uint64(1))
		assert.Equal(t, s.State().Offset(), uint64(2))
	})
}

func TestGateStartsFromASnapshotAfterRetention(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, c *cell) {
		firstCtx, endFirst := context.WithCancel(ctx)
		appendKeys(t, c.start(firstCtx, "gate-1"), 0, 8)
		time.Sleep(5 * time.Second)
		endFirst()
		c.mu.Lock()
		clear(c.gates)
		c.known = nil
		c.mu.Unlock()
		c.log.mu.Lock()
		c.log.oldest[StreamControl] = 6
		c.log.mu.Unlock()
		late := c.start(ctx, "gate-2")
		time.Sleep(10 * time.Second)
		assert.Assert(t, late.IsSynced())
		assert.Assert(t, has(late.State(), "key-0"), "the record before the retention is lost")
	})
}

func TestGateThatStartsInAnOutageTakesThePeersState(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, c *cell) {
		first := c.start(ctx, "gate-1")
		appendKeys(t, first, 0, 3)
		c.log.setDown(true)
		late := c.start(ctx, "gate-2")
		time.Sleep(10 * time.Second)
		assert.Assert(t, late.IsSynced())
		assert.Equal(t, late.State().Digest(), first.State().Digest())
	})
}

func TestGateWithoutLogAndPeersIsNotSynced(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, c *cell) {
		c.log.setDown(true)
		s := c.start(ctx, "gate-1")
		time.Sleep(10 * time.Second)
		assert.Assert(t, !s.IsSynced())
	})
}

func TestWithdrawalReachesTheLogAfterAnOutage(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, c *cell) {
		s := c.start(ctx, "gate-1")
		time.Sleep(2 * time.Second)
		c.log.setDown(true)
		s.Withdraw(ctx, "key-0")
		assert.Assert(t, s.IsWithdrawn("key-0"))
		time.Sleep(5 * time.Second)
		c.log.setDown(false)
		time.Sleep(10 * time.Second)
		assert.Assert(t, has(s.State(), "key-0"))
	})
}
