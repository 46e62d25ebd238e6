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

func TestLeaseCountsFromBeforeItsAppendWasSent(t *testing.T) {
	f, start := fold.NewFolder(), time.Now()
	k := newLeaseKeeper("entry-1.a")
	k.observe(start, 0, f.Publish())
	assert.Assert(t, k.due(start))
	claim := k.claim(start)
	k.observe(start.Add(4*time.Second), 0, foldLease(t, f, claim))
	assert.Assert(t, k.holds(start.Add(5900*time.Millisecond)))
	assert.Assert(t, !k.holds(start.Add(6*time.Second)))
}

func TestLeaseRenewal(t *testing.T) {
	f, start := fold.NewFolder(), time.Now()
	k := newLeaseKeeper("entry-1.a")
	k.observe(start, 0, f.Publish())
	k.observe(start, 0, foldLease(t, f, k.claim(start)))
	assert.Assert(t, !k.due(start.Add(1900*time.Millisecond)))
	assert.Assert(t, k.due(start.Add(2*time.Second)), "a third of the lease has passed")
}

func TestPauseEndsTheLeaseUntilARenewalIsSeen(t *testing.T) {
	f, start := fold.NewFolder(), time.Now()
	k := newLeaseKeeper("entry-1.a")
	k.observe(start, 0, f.Publish())
	state := foldLease(t, f, k.claim(start))
	k.observe(start, 0, state)
	later := start.Add(3 * time.Second)
	k.observe(later, 1, state)
	assert.Assert(t, !k.holds(later))
	k.observe(later, 1, foldLease(t, f, k.claim(later)))
	assert.Assert(t, k.holds(later))
}

func TestOthersWaitForLeaseAndMargin(t *testing.T) {
	f, start := fold.NewFolder(), time.Now()
	k := newLeaseKeeper("entry-2.b")
	k.observe(start, 0, foldLease(t, f, record.NewLease("entry-1.a", 0, 6000)))
	wait := 6*time.Second + leaseMargin + k.spread()
	assert.Assert(t, !k.due(start.Add(wait-time.Millisecond)))
	assert.Assert(t, k.due(start.Add(wait)))
}

// claimOnItsWay is an append that takes effect some time after it was sent.
type claimOnItsWay struct {
	arrives time.Time
	body    record.Lease
}

// TestNeverTwoHolders walks keepers that pause and whose claims and looks at the log are late by any time.
func TestNeverTwoHolders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f, now := fold.NewFolder(), time.Now()
		keepers := []leaseKeeper{newLeaseKeeper("entry-1.a"), newLeaseKeeper("entry-2.b"), newLeaseKeeper("entry-3.c")}
		pauses := make([]uint64, len(keepers))
		states := []*fold.State{f.Publish(), f.Publish(), f.Publish()}
		var flight []claimOnItsWay
		for range 300 {
			now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(rt, "passed-ms")) * time.Millisecond)
			flight = land(rt, f, flight, now)
			i := rapid.IntRange(0, len(keepers)-1).Draw(rt, "gate")
			if rapid.Bool().Draw(rt, "reads-log") {
				states[i] = f.Publish()
			}
			if rapid.IntRange(0, 9).Draw(rt, "pause") == 0 {
				pauses[i]++
			}
			keepers[i].observe(now, pauses[i], states[i])
			if keepers[i].due(now) {
				delay := time.Duration(rapid.IntRange(0, 9000).Draw(rt, "append-ms")) * time.Millisecond
				flight = append(flight, claimOnItsWay{now.Add(delay), keepers[i].claim(now)})
			}
			checkOneHolder(rt, keepers, now)
		}
	})
}

func land(t assert.TestingT, f *fold.Folder, flight []claimOnItsWay, now time.Time) []claimOnItsWay {
	var left []claimOnItsWay
	for _, c := range flight {
		if c.arrives.After(now) {
			left = append(left, c)
			continue
		}
		foldLease(t, f, c.body)
	}
	return left
}

func checkOneHolder(t assert.TestingT, keepers []leaseKeeper, now time.Time) {
	holders := 0
	for i := range keepers {
		if keepers[i].holds(now) {
			holders++
		}
	}
	assert.Assert(t, holders <= 1, "%d gates hold the lease", holders)
}
