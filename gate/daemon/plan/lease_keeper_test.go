package plan

import (
	"flag"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mangowing/core/fold"
	"mangowing/core/record"
)

// TestMain gives the property tests a fixed seed unless the command line names one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "43")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

func foldLease(t assert.TestingT, f *fold.Folder, l record.Lease) *fold.State {
	data, err := record.EncodeBatch([]record.Record{record.New("test", 0, l)})
	assert.NilError(t, err)
	_, err = f.Apply(f.Offset()+1, data)
	assert.NilError(t, err)
	return f.Publish()
}

func TestLeaseStartsWhenItsClaimIsSent(t *testing.T) {
	f, start := fold.NewFolder(), time.Now()
	k := newLeaseKeeper("entry-1.a")
	k.observe(start, 0, f.Publish())
	assert.Assert(t, k.isDue(start))
	claim := k.newClaim(start)
	k.observe(start.Add(4*time.Second), 0, foldLease(t, f, claim))
	assert.Assert(t, k.isHeld(start.Add(5900*time.Millisecond)))
	assert.Assert(t, !k.isHeld(start.Add(6*time.Second)))
}

func TestLeaseRenewal(t *testing.T) {
	f, start := fold.NewFolder(), time.Now()
	k := newLeaseKeeper("entry-1.a")
	k.observe(start, 0, f.Publish())
	k.observe(start, 0, foldLease(t, f, k.newClaim(start)))
	assert.Assert(t, !k.isDue(start.Add(1900*time.Millisecond)))
	assert.Assert(t, k.isDue(start.Add(2*time.Second)), "a third of the lease has passed")
}

func TestPauseEndsTheLeaseUntilItIsRenewed(t *testing.T) {
	f, start := fold.NewFolder(), time.Now()
	k := newLeaseKeeper("entry-1.a")
	k.observe(start, 0, f.Publish())
	state := foldLease(t, f, k.newClaim(start))
	k.observe(start, 0, state)
	later := start.Add(3 * time.Second)
	k.observe(later, 1, state)
	assert.Assert(t, !k.isHeld(later))
	k.observe(later, 1, foldLease(t, f, k.newClaim(later)))
	assert.Assert(t, k.isHeld(later))
}

func TestOtherGateClaimsAfterLeaseAndMargin(t *testing.T) {
	f, start := fold.NewFolder(), time.Now()
	k := newLeaseKeeper("entry-2.b")
	k.observe(start, 0, foldLease(t, f, record.NewLease("entry-1.a", 0, 6000)))
	wait := 6*time.Second + leaseMargin + k.claimOffset()
	assert.Assert(t, !k.isDue(start.Add(wait-time.Millisecond)))
	assert.Assert(t, k.isDue(start.Add(wait)))
}

// inFlightClaim is an append that was sent but takes effect later.
type inFlightClaim struct {
	arrivesAt time.Time
	body      record.Lease
}

// TestAtMostOneHolder runs lease keepers with random pauses, and with random delays of their appends and of their reads of the
// log.
func TestAtMostOneHolder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f, now := fold.NewFolder(), time.Now()
		keepers := []leaseKeeper{newLeaseKeeper("entry-1.a"), newLeaseKeeper("entry-2.b"), newLeaseKeeper("entry-3.c")}
		pauses := make([]uint64, len(keepers))
		states := []*fold.State{f.Publish(), f.Publish(), f.Publish()}
		var inFlight []inFlightClaim
		for range 300 {
			now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(rt, "passed-ms")) * time.Millisecond)
			inFlight = deliverClaims(rt, f, inFlight, now)
			i := rapid.IntRange(0, len(keepers)-1).Draw(rt, "gate")
			if rapid.Bool().Draw(rt, "reads-log") {
				states[i] = f.Publish()
			}
			if rapid.IntRange(0, 9).Draw(rt, "pause") == 0 {
				pauses[i]++
			}
			keepers[i].observe(now, pauses[i], states[i])
			if keepers[i].isDue(now) {
				delay := time.Duration(rapid.IntRange(0, 9000).Draw(rt, "append-ms")) * time.Millisecond
				inFlight = append(inFlight, inFlightClaim{now.Add(delay), keepers[i].newClaim(now)})
			}
			checkAtMostOneHolder(rt, keepers, now)
		}
	})
}

func deliverClaims(t assert.TestingT, f *fold.Folder, inFlight []inFlightClaim, now time.Time) []inFlightClaim {
	var left []inFlightClaim
	for _, c := range inFlight {
		if c.arrivesAt.After(now) {
			left = append(left, c)
			continue
		}
		foldLease(t, f, c.body)
	}
	return left
}

func checkAtMostOneHolder(t assert.TestingT, keepers []leaseKeeper, now time.Time) {
	holders := 0
	for i := range keepers {
		if keepers[i].isHeld(now) {
			holders++
		}
	}
	assert.Assert(t, holders <= 1, "%d gates hold the lease", holders)
}
