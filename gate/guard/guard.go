package guard

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"mangowing/core/timer"
)

const (
	watchInterval  = 100 * time.Millisecond
	reportInterval = time.Second
	// Pause after an accept that failed for lack of descriptors or memory.
	acceptPause      = 50 * time.Millisecond
	roomPollInterval = 5 * time.Millisecond
	// Connections that are allowed however many descriptors the rest of the process needs, so that ordinary callers get answers.
	minConnections = 16
	// Answers to callers are smaller by far.
	writeBufferBytes = 64 << 10
)

// Options of a Guard.
type Options struct {
	Port        string        // name of the address in logs and metrics
	Memory      int64         // bytes that requests may take
	Connections int           // connections that may be open at the same time
	Limits      func() Limits // limits on each connection in force now
	// File descriptors that the process may open, 0 for no limit. The guard allows fewer connections while the rest of the process needs so many
	// that fewer than Reserved would be free.
	Descriptors int
	Reserved    int
}

// Guard applies a Table to the connections of a listener.
type Guard struct {
	options Options
	table   *Table
	isHTTP  bool
	mu      sync.Mutex
	counts  map[Reason]int // since the last report
}

// New returns a guard. Nothing runs until Listen is called.
func New(o Options) *Guard {
	g := &Guard{options: o, table: NewTable(o.Memory, o.Connections), counts: map[Reason]int{}}
	metrics.GetOrCreateGauge(fmt.Sprintf("mangowing_client_connections{port=%q}", o.Port), func() float64 {
		_, connections := g.table.Used()
		return float64(connections)
	})
	metrics.GetOrCreateGauge(fmt.Sprintf("mangowing_client_memory_bytes{port=%q}", o.Port), func() float64 {
		memory, _ := g.table.Used()
		return float64(memory)
	})
	return g
}

// Used returns the memory that requests take in bytes, and the number of connections.
func (g *Guard) Used() (memory int64, connections int) { return g.table.Used() }

// Count counts a request that was refused, or a connection that was ended.
func (g *Guard) Count(reason Reason) {
	if g == nil {
		return
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("mangowing_clients_limited_total{port=%q,reason=%q}", g.options.Port, string(reason))).Inc()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counts[reason]++
}

// Protect makes the server report the state of its connections, which must come from a listener of this guard.
func (g *Guard) Protect(server *http.Server) {
	g.isHTTP = true
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*Conn); ok && state == http.StateIdle {
			g.table.Finish(c.entry, time.Now())
			// A client that has sent its next request already would be served until the scheduler preempts it, 10 ms for each such client.
			runtime.Gosched()
		}
	}
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := connOf(r); c != nil {
			g.table.Begin(c.entry, r.ContentLength, time.Now())
		}
		handler.ServeHTTP(w, r)
	})
}

// Listen wraps a listener. The guard watches its connections until it is closed.
func (g *Guard) Listen(inner net.Listener) net.Listener {
	ctx, cancel := context.WithCancel(context.Background())
	go g.watch(ctx)
	return &listener{Listener: inner, guard: g, ctx: ctx, cancel: cancel}
}

// watch ends connections that exceed a time limit, and reports what was ended.
func (g *Guard) watch(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	reported := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			g.endAll(g.table.Expire(now, g.options.Limits()))
			if now.Sub(reported) >= reportInterval {
				reported = now
				g.adjustConnections(now)
				g.report()
			}
		}
	}
}

// adjustConnections leaves the descriptors that the rest of the process needs.
func (g *Guard) adjustConnections(now time.Time) {
	if g.options.Descriptors == 0 {
		return
	}
	open := openDescriptors()
	if open == 0 {
		return
	}
	_, own := g.table.Used()
	available := g.options.Descriptors - g.options.Reserved - (open - own)
	for _, v := range g.table.SetConnections(min(g.options.Connections, max(minConnections, available)), now) {
		v.end(Connections)
	}
}

// openDescriptors returns how many file descriptors the process has open, 0 if that is unknown.
func openDescriptors() int {
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return 0
	}
	return len(entries)
}

func (g *Guard) endAll(victims []*Entry) {
	for _, v := range victims {
		v.end(g.table.Ended(v))
	}
}

// report logs what was ended or refused since the last report. Closing idle connections is ordinary, and isn't logged.
func (g *Guard) report() {
	g.mu.Lock()
	counts := g.counts
	g.counts = map[Reason]int{}
	g.mu.Unlock()
	delete(counts, IdleTimeout)
	if len(counts) == 0 {
		return
	}
	memory, connections := g.table.Used()
	fields := []any{"port", g.options.Port, "connections", connections, "memory-bytes", memory}
	for _, reason := range []Reason{
		HeaderTooLarge, HeaderTimeout, BodyTooLarge, BodyTimeout, WriteTimeout, Memory, Connections, TeamRate,
	} {
		if n := counts[reason]; n > 0 {
			fields = append(fields, string(reason), n)
		}
	}
	klog.InfoS("clients-limited", fields...)
}

// listener accepts connections within the guard's bounds.
type listener struct {
	net.Listener
	guard  *Guard
	ctx    context.Context // ends when the listener is closed
	cancel context.CancelFunc
}

// Accept returns the next connection. While there are too many, it ends the oldest without a whole request; while none is old enough, it waits, and
// the system keeps new connections in its queue.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		switch {
		case isShortage(err):
			klog.InfoS("accept-failed", "port", l.guard.options.Port, "error", err.Error())
			time.Sleep(acceptPause)
			continue
		case err != nil:
			return nil, err
		}
		return l.guard.open(l.ctx, raw), nil
	}
}

// Close closes the listener. Open connections aren't watched any longer.
func (l *listener) Close() error {
	l.cancel()
	return l.Listener.Close()
}

// isShortage reports whether an accept failed for lack of descriptors or memory, which passes.
func isShortage(err error) bool {
	for _, shortage := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, shortage) {
			return true
		}
	}
	return false
}

// open adds a connection, and waits for room if need be.
func (g *Guard) open(ctx context.Context, raw net.Conn) *Conn {
	if tcp, ok := raw.(*net.TCPConn); ok && g.isHTTP {
		// The system holds unread answers up to several megabytes a connection otherwise. Without effect the connection is still bounded in time.
		_ = tcp.SetWriteBuffer(writeBufferBytes)
	}
	c := &Conn{Conn: raw, guard: g}
	c.entry = NewEntry(c.end)
	for {
		victim, opened := g.table.Open(c.entry, time.Now())
		if victim != nil {
			victim.end(Connections)
		}
		if opened || ctx.Err() != nil {
			return c
		}
		timer.Sleep(ctx, roomPollInterval)
	}
}
