package owner

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"hash/fnv"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"mangowing/core/timer"
	"mangowing/gate/ports"
)

const (
	topic = "owner"

	heartbeatPeriod = 400 * time.Millisecond
	// Without a beat for this long, another gate claims the ownership.
	ownerTimeout = 1600 * time.Millisecond
	// The same when the owner refused a connection: its process is gone, or this gate is cut off from it.
	refusedOwnerTimeout = 900 * time.Millisecond
	// An owner orders nothing when its last beat on the log is older.
	maxHeartbeatAgeToOrder = 1300 * time.Millisecond
	// An owner renews nothing when its last beat on the log is older.
	maxHeartbeatAgeToRenew = 6 * time.Second
	// Gates claim one after the other, spread over this time.
	claimSpread = 250 * time.Millisecond
	readWait    = 500 * time.Millisecond
	// Wait of a read while the ownership is vacant.
	vacantReadWait      = 20 * time.Millisecond
	callTimeout         = time.Second
	retryPause          = 80 * time.Millisecond
	heartbeatRetryPause = 150 * time.Millisecond
)

// Keeper follows the ownership and claims it when it is free.
type Elector struct {
	log     ports.Log
	name    string
	address string

	mu            sync.Mutex
	view          View
	ownEpoch      int64         // epoch of this gate's own claim that is in force, 0 for none
	stopped       bool          // this gate claims no more
	lastHeartbeat time.Duration // when the last beat known to be on the log was sent, since boot
	instance      string        // tells this run of the process from others of the same name
	sequence      int64
	sentAt        map[int64]time.Duration
	changed       chan struct{}
	nextOffset    int64         // offset of the first record that was not read
	topicEnd      int64         // where the topic ended when this gate last heard of it
	lastReadAt    time.Duration // start of the last read that was answered, since boot
	vacantSince   time.Duration // when the ownership was first seen to be vacant, since boot; 0 if it is not
	candidate     Candidate
}

// Self is what a keeper asks of its gate.
type Candidate interface {
	// Eligible tells whether the gate may claim the ownership.
	IsEligible() bool
	// Handicap returns how much later than others the gate should claim.
	ClaimDelay() time.Duration
}

// New returns a keeper for the gate of that name, whose peers reach it at the address.
func New(log ports.Log, name, address string, self Candidate) *Elector {
	return &Elector{
		log: log, name: name, address: address, candidate: self, instance: rand.Text(),
		sentAt: map[int64]time.Duration{}, changed: make(chan struct{}, 1),
	}
}

// View returns what the gate believes of the ownership.
func (e *Elector) View() View {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.view
}

// Learn takes over a newer view that a peer has.
func (e *Elector) UpdateFromPeer(name, address string, epoch int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if epoch > e.view.epoch {
		klog.InfoS("owner-learned", "owner", name, "epoch", epoch)
		e.view = View{name: name, address: address, epoch: epoch, lastSeen: timer.SinceBoot()}
		e.notify()
	}
}

// Changed ticks when the view may have changed.
func (e *Elector) Changed() <-chan struct{} { return e.changed }

// Mine returns the epoch under which this gate is owner, 0 if it is not.
func (e *Elector) OwnEpoch() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ownEpoch
}

// Refused notes that the owner at the address refused a connection.
func (e *Elector) RecordRefusedConnection(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.view.address == address && !e.view.refusedConnection {
		klog.InfoS("owner-refuses", "owner", e.view.name, "address", address)
		e.view.refusedConnection = true
	}
}

// Met notes whether the owner at the address answered this gate's last call.
func (e *Elector) RecordCallResult(address string, answered bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.view.address == address {
		e.view.unanswered = !answered
	}
}

// Reachable tells whether there is an owner that answered this gate's last call, if it made any.
func (e *Elector) IsOwnerReachable() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.view.name != "" && !e.view.unanswered
}

// Claim claims the ownership at once, since its owner, whose epoch is given, asked this gate to. If another gate has
// claimed it meanwhile, nothing happens.
func (e *Elector) TakeOver(ctx context.Context, epoch int64) {
	if !e.candidate.IsEligible() || e.OwnEpoch() != 0 || e.readTopic(ctx) != nil || e.View().Epoch() != epoch {
		return
	}
	e.claim(ctx)
}

// Away returns how long this gate has had no answer from the log.
func (e *Elector) TimeSinceLogRead() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return timer.SinceBoot() - e.lastReadAt
}

// MayOrder tells whether an owner may give orders.
func (e *Elector) CanOrder() bool { return e.hasFreshHeartbeat(maxHeartbeatAgeToOrder) }

// MayRenew tells whether an owner may renew what runs.
func (e *Elector) CanRenew() bool { return e.hasFreshHeartbeat(maxHeartbeatAgeToRenew) }

// LastGrant returns how long from now on the owner before may still renew what runs.
func (e *Elector) PredecessorRenewalTime() time.Duration {
	return maxHeartbeatAgeToRenew - ownerTimeout
}

func (e *Elector) hasFreshHeartbeat(maxAge time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ownEpoch != 0 && timer.SinceBoot()-e.lastHeartbeat < maxAge
}

// Lost ends this gate's ownership, since a higher epoch was met.
func (e *Elector) EndOwnership(why string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ownEpoch != 0 {
		klog.InfoS("ownership-lost", "epoch", e.ownEpoch, "why", why)
		e.ownEpoch = 0
		e.notify()
	}
}

// Release gives the ownership up, so that another gate claims it at once, and claims no more. While the log does not
// answer, this gate goes on as the owner: nobody else can become it.
func (e *Elector) Release(ctx context.Context) {
	e.mu.Lock()
	e.stopped = true
	epoch := e.ownEpoch
	e.mu.Unlock()
	for epoch != 0 && ctx.Err() == nil && e.OwnEpoch() == epoch {
		err := e.appendNote(ctx, kindRelease)
		klog.InfoS("ownership-released", "epoch", epoch, "error", errText(err))
		if err == nil {
			e.EndOwnership("released")
			return
		}
		timer.Sleep(ctx, retryPause)
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (e *Elector) notify() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

// Follow reads the topic until the context ends, and claims the ownership when it is free.
func (e *Elector) Follow(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := e.readTopic(ctx); err != nil {
			timer.Sleep(ctx, retryPause)
			continue
		}
		if e.shouldClaim() {
			e.claim(ctx)
		}
	}
	return ctx.Err()
}

func (e *Elector) readTopic(ctx context.Context) error {
	started := timer.SinceBoot()
	e.mu.Lock()
	from := e.nextOffset
	wait := readWait
	if e.isVacant() {
		wait = vacantReadWait
	}
	e.mu.Unlock()
	readCtx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	page, err := e.log.Read(readCtx, topic, from, wait)
	if errors.Is(err, ports.ErrTrimmed) {
		e.mu.Lock()
		e.nextOffset = page.OldestOffset
		e.mu.Unlock()
		return nil
	}
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastReadAt = started
	for i, record := range page.Records {
		e.applyNote(page.StartOffset+int64(i), record)
	}
	e.nextOffset = page.NextOffset()
	e.topicEnd = max(e.topicEnd, e.nextOffset)
	return nil
}

// free tells whether this gate should claim the ownership.
func (e *Elector) shouldClaim() bool {
	if !e.candidate.IsEligible() {
		return false
	}
	delay := e.candidate.ClaimDelay()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped || e.ownEpoch != 0 {
		return false
	}
	if e.isVacant() {
		return e.vacantDuration() >= delay
	}
	e.vacantSince = 0
	timeout := ownerTimeout
	if e.view.refusedConnection {
		timeout = refusedOwnerTimeout
	}
	timeout += e.claimOffset() + delay
	return timer.SinceBoot()-e.view.lastSeen > timeout && e.lastReadAt > e.view.lastSeen+timeout/2
}

// vacant tells whether nobody has the ownership: none ever had, the owner gave it up, or it was this gate before it was
// started anew.
func (e *Elector) isVacant() bool {
	formerSelf := e.ownEpoch == 0 && e.view.name == e.name && e.view.address == e.address
	return e.view.name == "" || e.view.released || formerSelf
}

// vacantFor returns how long the ownership has been vacant as far as this gate has seen.
func (e *Elector) vacantDuration() time.Duration {
	now := timer.SinceBoot()
	if e.vacantSince == 0 {
		e.vacantSince = now
	}
	return now - e.vacantSince
}

// turn spreads the claims of gates over time.
func (e *Elector) claimOffset() time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(e.name))
	return time.Duration(h.Sum32()%uint32(claimSpread/time.Millisecond)) * time.Millisecond
}

func (e *Elector) claim(ctx context.Context) {
	e.mu.Lock()
	end := e.nextOffset
	e.mu.Unlock()
	err := e.appendNote(ctx, kindClaim)
	klog.InfoS("ownership-claim", "epoch", end+1, "error", errText(err))
}

// append writes a note if nothing was written since this gate last read the topic.
func (e *Elector) appendNote(ctx context.Context, what noteKind) error {
	e.mu.Lock()
	e.sequence++
	n := note{Kind: what, Name: e.name, Address: e.address, Life: e.instance, Number: e.sequence}
	e.sentAt[n.Number] = timer.SinceBoot()
	end := e.topicEnd
	e.mu.Unlock()
	record, err := json.Marshal(n)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	offset, err := e.log.Append(ctx, ports.Append{Topic: topic, Records: [][]byte{record}, ExpectedEnd: end})
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.topicEnd = max(e.topicEnd, offset+1)
	if what == kindHeartbeat {
		e.recordHeartbeat(n.Number)
	}
	return nil
}

// Beat keeps the ownership, while this gate has it, until the context ends.
func (e *Elector) SendHeartbeats(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := heartbeatPeriod
		if epoch := e.OwnEpoch(); epoch != 0 && !e.sendHeartbeat(ctx, epoch) {
			pause = heartbeatRetryPause
		}
		timer.Sleep(ctx, pause)
	}
	return ctx.Err()
}

// beat tells whether a beat was acknowledged. If the topic has moved on, the reader finds out what that means.
func (e *Elector) sendHeartbeat(ctx context.Context, epoch int64) bool {
	err := e.appendNote(ctx, kindHeartbeat)
	if err != nil {
		klog.InfoS("beat-failed", "epoch", epoch, "error", err.Error())
	}
	return err == nil
}
