package guard

import (
	"sync"
	"time"
)

// Reason is why a connection or request was ended or refused, in kebab case.
type Reason string

// Reasons, as in the metrics and logs. The zero value means that nothing was ended.
const (
	HeaderTooLarge Reason = "header-too-large"
	HeaderTimeout  Reason = "header-timeout"
	BodyTooLarge   Reason = "body-too-large"
	BodyTimeout    Reason = "body-timeout"
	WriteTimeout   Reason = "write-timeout"
	IdleTimeout    Reason = "idle-timeout"
	Memory         Reason = "memory"
	Connections    Reason = "connections"
	TeamRate       Reason = "team-rate"
)

// Limits bound each connection. A zero field means no limit. The write timeout is kept by Conn.
type Limits struct {
	HeaderBytes   int           // largest request header; for peers, the largest message
	HeaderTimeout time.Duration // from the first byte of a request to the end of its header
	BodyTimeout   time.Duration // for which a body may make no progress
	WriteTimeout  time.Duration // for which a client may take nothing of an answer
	IdleTimeout   time.Duration // between requests
}

// phase is what a connection waits for.
type phase uint8

const (
	phaseIdle    phase = iota // the first byte of a request
	phaseHeader               // the rest of the header
	phaseBody                 // the rest of the body
	phaseServing              // the answer
)

const (
	// A write that takes longer than this waits for the client. The connection may be ended in favour of others from then on.
	blockedWriteTime = time.Second
	// The part of a nearly complete body that counts as missing at least. A client that stops just short of the end would otherwise
	// outlast all others.
	minMissing = 0.25
	// A connection is this old before it is closed in favour of a new one. Until then the process may not have come to read what was sent.
	minAge = 250 * time.Millisecond
	// A request that takes less than this part of an equal share of the memory isn't why it is used up.
	smallShare = 0.25
	// A connection on which a request was served before counts as this many times younger.
	servedFactor = 8
)

// Entry is one connection in a Table.
type Entry struct {
	phase    phase
	opened   time.Time
	since    time.Time // when the phase began; for a body, when its request began
	progress time.Time // when bytes last arrived
	writing  time.Time // when a write to the client began, zero if none is in progress
	charged  int64     // bytes of memory
	received int64     // bytes of the header, then of the body
	expected int64     // declared bytes of the body, 0 if unknown
	served   bool
	ended    Reason
	canReply bool // ended once its header was read, so that an answer can still be sent
	end      func(Reason)
}

// isWriteBlocked reports whether the client doesn't read its answer.
func (e *Entry) isWriteBlocked(now time.Time) bool {
	return !e.writing.IsZero() && now.Sub(e.writing) > blockedWriteTime
}

// isIncomplete reports whether the connection may be ended without ending a request that is being served.
func (e *Entry) isIncomplete(now time.Time) bool {
	return e.phase != phaseServing || e.isWriteBlocked(now)
}

// score orders connections: the oldest and least complete request has the highest.
func (e *Entry) score(now time.Time) float64 {
	missing := 1.0
	if e.phase == phaseBody && e.expected > 0 {
		missing = max(minMissing, 1-float64(e.received)/float64(e.expected))
	}
	score := now.Sub(e.since).Seconds() * missing
	if e.served {
		return score / servedFactor
	}
	return score
}

// expiry returns why the connection must end at the given time, empty if it need not.
func (e *Entry) expiry(now time.Time, l Limits) Reason {
	over := func(since time.Time, limit time.Duration) bool { return limit > 0 && now.Sub(since) > limit }
	switch {
	case e.phase == phaseIdle && over(e.since, l.IdleTimeout):
		return IdleTimeout
	case e.phase == phaseHeader && over(e.since, l.HeaderTimeout):
		return HeaderTimeout
	case e.phase == phaseBody && over(e.progress, l.BodyTimeout):
		return BodyTimeout
	default:
		return ""
	}
}

// Table accounts for the connections of one address: how many there are, and the memory of their requests. It does no I/O and has no clock.
// Calls return the connections that must end in favour of others; the caller ends them by Entry.end. Safe for concurrent use.
type Table struct {
	mu          sync.Mutex
	memory      int64
	connections int
	used        int64
	entries     map[*Entry]struct{}
}

// NewTable returns an empty table with limits on memory in bytes and on the number of connections.
func NewTable(memory int64, connections int) *Table {
	return &Table{memory: memory, connections: connections, entries: map[*Entry]struct{}{}}
}

// Used returns the memory in use in bytes, and the number of connections.
func (t *Table) Used() (memory int64, connections int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.used, len(t.entries)
}

// NewEntry returns an entry for Open. The function ends the connection.
func NewEntry(end func(Reason)) *Entry { return &Entry{end: end} }

// Open adds a connection. If there are too many, it ends another one, or returns false if all others are new or have requests that are being
// served.
func (t *Table) Open(e *Entry, now time.Time) (victim *Entry, opened bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.entries) >= t.connections {
		if victim = t.worst(now, minAge, 0); victim == nil {
			return nil, false
		}
		t.remove(victim, Connections)
	}
	e.opened, e.since, e.progress = now, now, now
	t.entries[e] = struct{}{}
	return victim, true
}

// SetConnections changes how many connections there may be. It returns those that must end for it; connections with requests that are being
// served stay.
func (t *Table) SetConnections(n int, now time.Time) (victims []*Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.connections = n
	for len(t.entries) > t.connections {
		victim := t.worst(now, 0, 0)
		if victim == nil {
			break
		}
		t.remove(victim, Connections)
		victims = append(victims, victim)
	}
	return victims
}

// Close removes a connection.
func (t *Table) Close(e *Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.release(e)
	delete(t.entries, e)
}

// Receive notes that bytes of a header or body arrived. A first byte begins a request. It returns the number of bytes of the header so far, 0 if
// the bytes belong to a body or to a later request, and whether the connection goes on.
func (t *Table) Receive(e *Entry, bytes int, now time.Time) (header int64, goesOn bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.ended != "" {
		return 0, false
	}
	e.progress = now
	switch e.phase {
	case phaseIdle:
		e.phase, e.since, e.received = phaseHeader, now, int64(bytes)
	case phaseHeader, phaseBody:
		e.received += int64(bytes)
	}
	if e.phase == phaseHeader {
		return e.received, true
	}
	return 0, true
}

// Charge adds memory that the connection's request takes. While the memory of all requests exceeds the limit, the oldest and least complete
// request ends, which may be this one: then it is among the victims and the result is false. A request that is alone is not bounded by the table.
func (t *Table) Charge(e *Entry, bytes int64, now time.Time) (victims []*Entry, goesOn bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.ended != "" {
		return nil, false
	}
	e.charged += bytes
	t.used += bytes
	for t.used > t.memory && t.used > e.charged {
		victim := t.worst(now, 0, max(1, t.smallRequest()))
		if victim == nil {
			victim = e
		}
		t.end(victim, Memory)
		victims = append(victims, victim)
		if victim == e {
			return victims, false
		}
	}
	return victims, true
}

// Begin notes that the header is complete. expected is the declared size of the body, 0 if there is none and negative if it is unknown.
func (t *Table) Begin(e *Entry, expected int64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.phase == phaseIdle {
		e.since = now
	}
	e.phase, e.progress, e.received, e.expected = phaseBody, now, 0, max(0, expected)
	if expected == 0 {
		e.phase = phaseServing
	}
}

// Complete notes that the whole request has arrived, so that it isn't ended in favour of others. It returns false if it has ended before.
func (t *Table) Complete(e *Entry) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.ended != "" {
		return false
	}
	e.phase, e.served = phaseServing, true
	return true
}

// Finish notes that the request was answered, or a peer's message was read: its memory is free again.
func (t *Table) Finish(e *Entry, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.release(e)
	e.phase, e.since, e.received = phaseIdle, now, 0
}

// FinishMessage is Finish for a message of a peer, after which the connection counts as served.
func (t *Table) FinishMessage(e *Entry, now time.Time) {
	t.Finish(e, now)
	t.mu.Lock()
	defer t.mu.Unlock()
	e.served = true
}

// SetWriting notes that a write to the client begins, or by the zero time that it has ended.
func (t *Table) SetWriting(e *Entry, since time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.writing = since
}

// Expire returns the connections that exceeded a time limit.
func (t *Table) Expire(now time.Time, l Limits) []*Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var victims []*Entry
	for e := range t.entries {
		if reason := e.expiry(now, l); reason != "" && e.ended == "" {
			t.end(e, reason)
			victims = append(victims, e)
		}
	}
	return victims
}

// End ends a connection for a reason that lies in what it sent. It returns false if it had ended before.
func (t *Table) End(e *Entry, reason Reason) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	first := e.ended == ""
	t.end(e, reason)
	return first
}

// Ended returns why the connection was ended, empty if it was not.
func (t *Table) Ended(e *Entry) Reason {
	t.mu.Lock()
	defer t.mu.Unlock()
	return e.ended
}

// smallRequest returns the memory below which a request isn't why the memory is used up. The lock must be held.
func (t *Table) smallRequest() int64 {
	return int64(smallShare * float64(t.memory) / float64(max(1, t.connections)))
}

// worst returns the connection that should end first of those with the given age and memory, nil if there is none. The lock must be held.
func (t *Table) worst(now time.Time, age time.Duration, memory int64) *Entry {
	var worst *Entry
	highest := -1.0
	for e := range t.entries {
		if e.ended != "" || e.charged < memory || now.Sub(e.opened) < age || !e.isIncomplete(now) {
			continue
		}
		if score := e.score(now); score > highest {
			worst, highest = e, score
		}
	}
	return worst
}

func (t *Table) end(e *Entry, reason Reason) {
	if e.ended == "" {
		e.ended, e.canReply = reason, e.phase == phaseBody || e.phase == phaseServing
	}
	t.release(e)
}

func (t *Table) remove(e *Entry, reason Reason) {
	t.end(e, reason)
	delete(t.entries, e)
}

func (t *Table) release(e *Entry) {
	t.used -= e.charged
	e.charged = 0
}
