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
	"mangowing/gate/segs"
)

const (
	topic = "owner"

	heartbeatPeriod = 400 * time.Millisecond
	// Other gates claim the ownership when the owner has sent no heartbeat for this long.
	ownerTimeout = 1600 * time.Millisecond
	// The same if the owner also refused a connection: its process is gone, or this gate is cut off from it.
	refusedOwnerTimeout = 900 * time.Millisecond
	// An owner sends no orders when its last heartbeat on the log is older.
	maxHeartbeatAgeToOrder = 1300 * time.Millisecond
	// An owner renews no leases when its last heartbeat on the log is older.
	maxHeartbeatAgeToRenew = 6 * time.Second
	// The gates' claims are spread over this time.
	claimSpread = 250 * time.Millisecond
	readWait    = 500 * time.Millisecond
	// Wait of a read while there is no owner.
	vacantReadWait      = 20 * time.Millisecond
	callTimeout         = time.Second
	retryPause          = 80 * time.Millisecond
	heartbeatRetryPause = 150 * time.Millisecond
)

// Elector tracks the owner, claims the ownership for its gate when there is no owner, and keeps it by heartbeats. Points in
// time are given as the time since boot.
type Elector struct {
	log     ports.Log
	name    string
	address string

	mu            sync.Mutex
	view          View
	ownEpoch      int64         // epoch under which this gate is owner, 0 if it is not
	stopped       bool          // this gate makes no more claims
	lastHeartbeat time.Duration // when the latest heartbeat or claim that is known to be on the log was sent
	instance      string        // random; tells this process from earlier ones of the same gate
	sequence      int64
	sentAt        map[int64]time.Duration // when each record was sent, by its number
	changed       chan struct{}
	nextOffset    int64         // offset of the first unread record
	topicEnd      int64         // highest known end offset of the topic
	lastReadAt    time.Duration // start of the last successful read
	vacantSince   time.Duration // when the lack of an owner was first noticed, 0 if there is an owner
	missedAt      time.Duration // when records were last found to be trimmed before this gate had read them
	// The heartbeats of all owners before the latest one were sent before this time.
	predecessorSeenAt time.Duration
	segment           segs.Segment // of the journal, as the latest record that names one has it
	segmentOffset     int64        // of that record
	hasSegment        bool         // a record has named a segment
	mayMissSegment    bool         // records that may have named a later segment were deleted unread
	latencies         segs.Latencies
	candidate         Candidate
}

// Candidate is the gate for which an Elector claims the ownership.
type Candidate interface {
	// IsEligible reports whether the gate may claim the ownership.
	IsEligible() bool
	// ClaimDelay returns how much later than others the gate should claim.
	ClaimDelay() time.Duration
}

// New returns an Elector for the gate with the given name, which other gates reach at the address.
func New(log ports.Log, name, address string, candidate Candidate) *Elector {
	return &Elector{
		log: log, name: name, address: address, candidate: candidate, instance: rand.Text(),
		sentAt: map[int64]time.Duration{}, changed: make(chan struct{}, 1),
	}
}

// View returns what this gate knows of the owner.
func (e *Elector) View() View {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.view
}

// UpdateFromPeer adopts a peer's view of the owner if its epoch is higher.
func (e *Elector) UpdateFromPeer(name, address string, epoch int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if epoch > e.view.epoch {
		klog.InfoS("owner-learned", "owner", name, "epoch", epoch)
		e.view = View{name: name, address: address, epoch: epoch, lastSeen: timer.SinceBoot()}
		e.notify()
	}
}

// Changed returns a channel that signals when the owner may have changed.
func (e *Elector) Changed() <-chan struct{} { return e.changed }

// OwnEpoch returns the epoch under which this gate is owner, 0 if it is not.
func (e *Elector) OwnEpoch() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ownEpoch
}

// RecordRefusedConnection records that the owner at the address refused a connection.
func (e *Elector) RecordRefusedConnection(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.view.address == address && !e.view.refusedConnection {
		klog.InfoS("owner-refuses", "owner", e.view.name, "address", address)
		e.view.refusedConnection = true
	}
}

// RecordCallResult records whether the owner at the address answered this gate's last call.
func (e *Elector) RecordCallResult(address string, answered bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.view.address == address {
		e.view.unanswered = !answered
	}
}

// IsOwnerReachable reports whether an owner is known and this gate's last call to it, if any, was answered.
func (e *Elector) IsOwnerReachable() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.view.name != "" && !e.view.unanswered
}

// TakeOver claims the ownership at once, at the request of the owner with the given epoch. It does nothing if another gate
// has become owner meanwhile.
func (e *Elector) TakeOver(ctx context.Context, epoch int64) {
	if !e.candidate.IsEligible() || e.OwnEpoch() != 0 || e.readTopic(ctx) != nil || e.View().Epoch() != epoch {
		return
	}
	e.claim(ctx)
}

// TimeSinceLogRead returns the time since the start of the last successful read of the log.
func (e *Elector) TimeSinceLogRead() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return timer.SinceBoot() - e.lastReadAt
}

// CanOrder reports whether this gate is owner and may send orders.
func (e *Elector) CanOrder() bool { return e.hasFreshHeartbeat(maxHeartbeatAgeToOrder) }

// CanRenew reports whether this gate is owner and may renew leases.
func (e *Elector) CanRenew() bool { return e.hasFreshHeartbeat(maxHeartbeatAgeToRenew) }

// PredecessorRenewalTime returns for how long from now previous owners may still renew leases. A previous owner may live on behind a
// partition, also if it refuses connections.
func (e *Elector) PredecessorRenewalTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(0, e.predecessorSeenAt+maxHeartbeatAgeToRenew-timer.SinceBoot())
}

func (e *Elector) hasFreshHeartbeat(maxAge time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ownEpoch != 0 && timer.SinceBoot()-e.lastHeartbeat < maxAge
}

// EndOwnership ends this gate's ownership, if it has it, for the given reason.
func (e *Elector) EndOwnership(why string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ownEpoch != 0 {
		klog.InfoS("ownership-lost", "epoch", e.ownEpoch, "why", why)
		e.ownEpoch = 0
		e.notify()
	}
}

// Release gives up the ownership, so that another gate can claim it at once, and stops further claims. While the log does
// not answer, this gate stays the owner, since no other gate can become owner either.
func (e *Elector) Release(ctx context.Context) {
	e.mu.Lock()
	e.stopped = true
	epoch := e.ownEpoch
	e.mu.Unlock()
	for epoch != 0 && ctx.Err() == nil && e.OwnEpoch() == epoch {
		_, err := e.append(ctx, ownerRecord{Kind: kindRelease})
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

// Follow reads the topic until the context ends, and claims the ownership when the owner is gone.
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
	page, err := e.log.Read(readCtx, topic, 0, from, wait)
	if errors.Is(err, ports.ErrTrimmed) {
		e.mu.Lock()
		e.nextOffset, e.missedAt = page.OldestOffset, timer.SinceBoot()
		// Records before topicEnd were read, or appended by this gate alone.
		missed := page.OldestOffset > e.topicEnd
		missedClaim := missed && e.ownEpoch != 0 && e.hasSegment
		e.mayMissSegment = e.mayMissSegment || missed
		e.mu.Unlock()
		if missedClaim {
			// The missed records may contain another gate's claim.
			e.EndOwnership("records of the owner topic were trimmed unread")
		}
		return nil
	}
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastReadAt = started
	for i, record := range page.Records {
		e.applyRecord(page.StartOffset+int64(i), record)
	}
	e.nextOffset = page.NextOffset()
	e.topicEnd = max(e.topicEnd, e.nextOffset)
	return nil
}

// shouldClaim reports whether this gate should claim the ownership now. It needs a recent read as well, so that a gate that
// can't reach the log does not take the owner for gone.
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
	timeout += e.claimJitter() + delay
	return timer.SinceBoot()-e.view.lastSeen > timeout && e.lastReadAt > e.view.lastSeen+timeout/2
}

// isVacant reports whether there is no owner: there never was one, it released the ownership, or it was this gate before a
// restart.
func (e *Elector) isVacant() bool {
	formerSelf := e.ownEpoch == 0 && e.view.name == e.name && e.view.address == e.address
	return e.view.name == "" || e.view.released || formerSelf
}

// vacantDuration returns for how long this gate has known that there is no owner.
func (e *Elector) vacantDuration() time.Duration {
	now := timer.SinceBoot()
	if e.vacantSince == 0 {
		e.vacantSince = now
	}
	return now - e.vacantSince
}

// claimJitter returns a delay derived from the gate's name, which spreads the gates' claims over time.
func (e *Elector) claimJitter() time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(e.name))
	return time.Duration(h.Sum32()%uint32(claimSpread/time.Millisecond)) * time.Millisecond
}

func (e *Elector) claim(ctx context.Context) {
	e.mu.Lock()
	end := e.nextOffset
	e.mu.Unlock()
	_, err := e.append(ctx, ownerRecord{Kind: kindClaim})
	klog.InfoS("ownership-claim", "epoch", end+1, "error", errText(err))
}

// append appends a record if the topic still ends at topicEnd, and returns its offset.
func (e *Elector) append(ctx context.Context, n ownerRecord) (int64, error) {
	e.mu.Lock()
	return e.appendLocked(ctx, n)
}

// appendAsOwner is append for a record that only the owner under the epoch may write.
func (e *Elector) appendAsOwner(ctx context.Context, epoch int64, n ownerRecord) (int64, error) {
	e.mu.Lock()
	if e.ownEpoch != epoch {
		e.mu.Unlock()
		return 0, ErrNotOwner
	}
	return e.appendLocked(ctx, n)
}

// appendLocked is append with the lock held, which it releases. The record names the segment that counts at topicEnd, unless it
// changes it.
func (e *Elector) appendLocked(ctx context.Context, n ownerRecord) (int64, error) {
	e.sequence++
	n.Name, n.Address, n.Instance, n.Number = e.name, e.address, e.instance, e.sequence
	if n.Segment == nil {
		n.Segment = e.knownSegment()
	}
	sentAt, end := timer.SinceBoot(), e.topicEnd
	e.sentAt[n.Number] = sentAt
	if n.Kind == kindHeartbeat {
		e.latencies.Sent(n.Number, sentAt)
	}
	e.mu.Unlock()
	record, err := json.Marshal(n)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	offset, err := e.log.Append(ctx, ports.Append{Topic: topic, Records: [][]byte{record}, ExpectedEnd: end})
	e.mu.Lock()
	defer e.mu.Unlock()
	e.latencies.Ended(n.Number, timer.SinceBoot(), err == nil)
	if err != nil {
		return 0, err
	}
	e.topicEnd = max(e.topicEnd, offset+1)
	if n.Kind == kindHeartbeat || n.Kind == kindSegment {
		e.recordHeartbeat(n.Number)
	}
	if n.Kind == kindSegment {
		e.applySegment(offset, *n.Segment)
	}
	return offset, nil
}

// SendHeartbeats sends heartbeats while this gate is owner, until the context ends.
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

// sendHeartbeat reports whether a heartbeat was acknowledged. If the append fails because another record was added, Follow
// reads that record and acts on it.
func (e *Elector) sendHeartbeat(ctx context.Context, epoch int64) bool {
	_, err := e.appendAsOwner(ctx, epoch, ownerRecord{Kind: kindHeartbeat})
	if err != nil {
		klog.InfoS("beat-failed", "epoch", epoch, "error", err.Error())
	}
	return err == nil
}
