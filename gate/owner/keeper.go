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

	beatPeriod = 400 * time.Millisecond
	// Without a beat for this long, another gate claims the ownership.
	silence = 1600 * time.Millisecond
	// The same when the owner refused a connection: its process is gone, or this gate is cut off from it.
	refusedSilence = 900 * time.Millisecond
	// An owner orders nothing when its last beat on the log is older.
	orderLimit = 1300 * time.Millisecond
	// An owner renews nothing when its last beat on the log is older.
	renewLimit = 6 * time.Second
	// Gates claim one after the other, spread over this time.
	claimSpread = 250 * time.Millisecond
	readWait    = 500 * time.Millisecond
	// Wait of a read while the ownership is vacant.
	vacantWait  = 20 * time.Millisecond
	callTimeout = time.Second
	retryPause  = 80 * time.Millisecond
	beatRetry   = 150 * time.Millisecond
)

// Keeper follows the ownership and claims it when it is free.
type Keeper struct {
	log     ports.Log
	name    string
	address string

	mu       sync.Mutex
	view     View
	mine     int64         // epoch of this gate's own claim that is in force, 0 for none
	stopped  bool          // this gate claims no more
	beaten   time.Duration // when the last beat known to be on the log was sent, since boot
	life     string        // tells this run of the process from others of the same name
	sequence int64
	sent     map[int64]time.Duration
	changed  chan struct{}
	next     int64         // offset of the first record that was not read
	end      int64         // where the topic ended when this gate last heard of it
	readOK   time.Duration // start of the last read that was answered, since boot
	vacated  time.Duration // when the ownership was first seen to be vacant, since boot; 0 if it is not
	self     Self
}

// Self is what a keeper asks of its gate.
type Self interface {
	// Eligible tells whether the gate may claim the ownership.
	Eligible() bool
	// Handicap returns how much later than others the gate should claim.
	Handicap() time.Duration
}

// New returns a keeper for the gate of that name, whose peers reach it at the address.
func New(log ports.Log, name, address string, self Self) *Keeper {
	return &Keeper{
		log: log, name: name, address: address, self: self, life: rand.Text(),
		sent: map[int64]time.Duration{}, changed: make(chan struct{}, 1),
	}
}

// View returns what the gate believes of the ownership.
func (k *Keeper) View() View {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.view
}

// Learn takes over a newer view that a peer has.
func (k *Keeper) Learn(name, address string, epoch int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if epoch > k.view.epoch {
		klog.InfoS("owner-learned", "owner", name, "epoch", epoch)
		k.view = View{name: name, address: address, epoch: epoch, seen: timer.SinceBoot()}
		k.notify()
	}
}

// Changed ticks when the view may have changed.
func (k *Keeper) Changed() <-chan struct{} { return k.changed }

// Mine returns the epoch under which this gate is owner, 0 if it is not.
func (k *Keeper) Mine() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.mine
}

// Refused notes that the owner at the address refused a connection.
func (k *Keeper) Refused(address string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.view.address == address && !k.view.refused {
		klog.InfoS("owner-refuses", "owner", k.view.name, "address", address)
		k.view.refused = true
	}
}

// Met notes whether the owner at the address answered this gate's last call.
func (k *Keeper) Met(address string, answered bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.view.address == address {
		k.view.unmet = !answered
	}
}

// Reachable tells whether there is an owner that answered this gate's last call, if it made any.
func (k *Keeper) Reachable() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.view.name != "" && !k.view.unmet
}

// Claim claims the ownership at once, since its owner, whose epoch is given, asked this gate to. If another gate has
// claimed it meanwhile, nothing happens.
func (k *Keeper) Claim(ctx context.Context, epoch int64) {
	if !k.self.Eligible() || k.Mine() != 0 || k.read(ctx) != nil || k.View().Epoch() != epoch {
		return
	}
	k.claim(ctx)
}

// Away returns how long this gate has had no answer from the log.
func (k *Keeper) Away() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return timer.SinceBoot() - k.readOK
}

// MayOrder tells whether an owner may give orders.
func (k *Keeper) MayOrder() bool { return k.fresh(orderLimit) }

// MayRenew tells whether an owner may renew what runs.
func (k *Keeper) MayRenew() bool { return k.fresh(renewLimit) }

// LastGrant returns how long from now on the owner before may still renew what runs.
func (k *Keeper) LastGrant() time.Duration {
	return renewLimit - silence
}

func (k *Keeper) fresh(limit time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.mine != 0 && timer.SinceBoot()-k.beaten < limit
}

// Lost ends this gate's ownership, since a higher epoch was met.
func (k *Keeper) Lost(why string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.mine != 0 {
		klog.InfoS("ownership-lost", "epoch", k.mine, "why", why)
		k.mine = 0
		k.notify()
	}
}

// Release gives the ownership up, so that another gate claims it at once, and claims no more. While the log does not
// answer, this gate goes on as the owner: nobody else can become it.
func (k *Keeper) Release(ctx context.Context) {
	k.mu.Lock()
	k.stopped = true
	epoch := k.mine
	k.mu.Unlock()
	for epoch != 0 && ctx.Err() == nil && k.Mine() == epoch {
		err := k.append(ctx, kindRelease)
		klog.InfoS("ownership-released", "epoch", epoch, "error", errText(err))
		if err == nil {
			k.Lost("released")
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

func (k *Keeper) notify() {
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

// Follow reads the topic until the context ends, and claims the ownership when it is free.
func (k *Keeper) Follow(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := k.read(ctx); err != nil {
			timer.Sleep(ctx, retryPause)
			continue
		}
		if k.free() {
			k.claim(ctx)
		}
	}
	return ctx.Err()
}

func (k *Keeper) read(ctx context.Context) error {
	started := timer.SinceBoot()
	k.mu.Lock()
	from := k.next
	wait := readWait
	if k.vacant() {
		wait = vacantWait
	}
	k.mu.Unlock()
	readCtx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	page, err := k.log.Read(readCtx, topic, from, wait)
	if errors.Is(err, ports.ErrTrimmed) {
		k.mu.Lock()
		k.next = page.First
		k.mu.Unlock()
		return nil
	}
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.readOK = started
	for i, record := range page.Records {
		k.fold(page.From+int64(i), record)
	}
	k.next = page.Next()
	k.end = max(k.end, k.next)
	return nil
}

// free tells whether this gate should claim the ownership.
func (k *Keeper) free() bool {
	if !k.self.Eligible() {
		return false
	}
	handicap := k.self.Handicap()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stopped || k.mine != 0 {
		return false
	}
	if k.vacant() {
		return k.vacantFor() >= handicap
	}
	k.vacated = 0
	patience := silence
	if k.view.refused {
		patience = refusedSilence
	}
	patience += k.turn() + handicap
	return timer.SinceBoot()-k.view.seen > patience && k.readOK > k.view.seen+patience/2
}

// vacant tells whether nobody has the ownership: none ever had, the owner gave it up, or it was this gate before it was
// started anew.
func (k *Keeper) vacant() bool {
	formerSelf := k.mine == 0 && k.view.name == k.name && k.view.address == k.address
	return k.view.name == "" || k.view.left || formerSelf
}

// vacantFor returns how long the ownership has been vacant as far as this gate has seen.
func (k *Keeper) vacantFor() time.Duration {
	now := timer.SinceBoot()
	if k.vacated == 0 {
		k.vacated = now
	}
	return now - k.vacated
}

// turn spreads the claims of gates over time.
func (k *Keeper) turn() time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(k.name))
	return time.Duration(h.Sum32()%uint32(claimSpread/time.Millisecond)) * time.Millisecond
}

func (k *Keeper) claim(ctx context.Context) {
	k.mu.Lock()
	end := k.next
	k.mu.Unlock()
	err := k.append(ctx, kindClaim)
	klog.InfoS("ownership-claim", "epoch", end+1, "error", errText(err))
}

// append writes a note if nothing was written since this gate last read the topic.
func (k *Keeper) append(ctx context.Context, what kind) error {
	k.mu.Lock()
	k.sequence++
	n := note{Kind: what, Name: k.name, Address: k.address, Life: k.life, Number: k.sequence}
	k.sent[n.Number] = timer.SinceBoot()
	end := k.end
	k.mu.Unlock()
	record, err := json.Marshal(n)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	offset, err := k.log.Append(ctx, ports.Append{Topic: topic, Records: [][]byte{record}, EndsAt: end})
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.end = max(k.end, offset+1)
	if what == kindBeat {
		k.beatenAt(n.Number)
	}
	return nil
}

// Beat keeps the ownership, while this gate has it, until the context ends.
func (k *Keeper) Beat(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := beatPeriod
		if epoch := k.Mine(); epoch != 0 && !k.beat(ctx, epoch) {
			pause = beatRetry
		}
		timer.Sleep(ctx, pause)
	}
	return ctx.Err()
}

// beat tells whether a beat was acknowledged. If the topic has moved on, the reader finds out what that means.
func (k *Keeper) beat(ctx context.Context, epoch int64) bool {
	err := k.append(ctx, kindBeat)
	if err != nil {
		klog.InfoS("beat-failed", "epoch", epoch, "error", err.Error())
	}
	return err == nil
}
