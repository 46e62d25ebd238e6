package route_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mangowing/core/route"
)

var origin = time.Date(2027, 3, 1, 0, 0, 0, 0, time.UTC)

func pool(options route.Options, n int) *route.Balancer {
	b := route.New(options)
	var targets []route.Target
	for i := range n {
		name := fmt.Sprintf("w%d", i)
		targets = append(targets, route.NewTarget(name, name+":80", 2, 64))
	}
	b.SetTargets(targets)
	return b
}

func pick(t *testing.T, b *route.Balancer, now time.Time, exclude ...string) string {
	t.Helper()
	target, ok := b.Pick(now, func(name string) bool {
		return len(exclude) > 0 && exclude[0] == name
	})
	if !ok {
		return ""
	}
	b.RecordStart(target.Name())
	return target.Name()
}

func TestPickReturnsTheLeastLoaded(t *testing.T) {
	scenarios := []struct {
		testName string
		prepare  func(b *route.Balancer)
		expected []string
	}{
		{"round robin when idle", func(*route.Balancer) {}, []string{"w0", "w1", "w2", "w0", "w1", "w2", ""}},
		{"reported load counts", func(b *route.Balancer) { b.ReportLoad("w0", 1, origin) }, []string{"w1", "w2", "w0", "w1", "w2", ""}},
		{
			"a worker that refused is skipped",
			func(b *route.Balancer) { b.RecordStart("w1"); b.RecordResult("w1", route.Refused, 0, origin) },
			[]string{"w0", "w2", "w0", "w2", ""},
		},
		{
			"an unreachable worker is skipped",
			func(b *route.Balancer) { b.RecordStart("w2"); b.RecordResult("w2", route.Unreachable, 0, origin) },
			[]string{"w0", "w1", "w0", "w1", ""},
		},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			b := pool(route.Options{}, 3)
			sc.prepare(b)
			for _, want := range sc.expected {
				assert.Equal(t, pick(t, b, origin), want)
			}
		})
	}
}

func TestExcludedWorkerIsNotPicked(t *testing.T) {
	b := pool(route.Options{}, 2)
	assert.Equal(t, pick(t, b, origin, "w0"), "w1")
	assert.Equal(t, pick(t, b, origin, "w0"), "w1")
	assert.Equal(t, pick(t, b, origin, "w0"), "")
}

// run sends n requests one after another and returns how many each worker got, and the time after the last.
func run(b *route.Balancer, from time.Time, n int, fails func(worker string, i int) bool) (map[string]int, time.Time) {
	got := map[string]int{}
	now := from
	for i := range n {
		now = now.Add(100 * time.Millisecond)
		target, ok := b.Pick(now, nil)
		if !ok {
			continue
		}
		got[target.Name()]++
		b.RecordStart(target.Name())
		result := route.Succeeded
		if fails(target.Name(), i) {
			result = route.Failed
		}
		b.RecordResult(target.Name(), result, time.Second, now)
	}
	return got, now
}

func TestEjection(t *testing.T) {
	always := func(string, int) bool { return true }
	onlyW0 := func(worker string, _ int) bool { return worker == "w0" }
	manyJobs := func(_ string, i int) bool { return xxhash.Sum64String(fmt.Sprint(i))%2 == 0 }
	scenarios := []struct {
		testName string
		percent  int
		fails    func(string, int) bool
		ejected  int
	}{
		{"a worker that fails everything", 30, onlyW0, 1},
		{"no ejection when switched off", 0, onlyW0, 0},
		{"a pool that fails everything keeps its workers", 30, always, 0},
		{"failing jobs on all workers eject none", 30, manyJobs, 0},
		{"at most the percentage", 30, func(w string, _ int) bool { return w < "w5" }, 3},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			b := pool(route.Options{MaxEjectedPercent: sc.percent}, 10)
			_, now := run(b, origin, 300, sc.fails)
			n := 0
			for _, target := range b.Snapshot(now) {
				if target.IsEjected() {
					n++
				}
			}
			assert.Equal(t, n, sc.ejected)
		})
	}
}

func TestEjectedWorkerIsProbedRarely(t *testing.T) {
	b := pool(route.Options{MaxEjectedPercent: 30}, 10)
	onlyW0 := func(worker string, _ int) bool { return worker == "w0" }
	got, now := run(b, origin, 6000, onlyW0)                                      // 10 minutes
	assert.Assert(t, got["w0"] <= 24, "failing worker got %d of 6000", got["w0"]) // one probe each 30 s
	_, now = run(b, now, 310, func(string, int) bool { return false })
	assert.Assert(t, b.IsHealthy("w0"))
	got, _ = run(b, now, 1000, func(string, int) bool { return false })
	assert.Equal(t, got["w0"], 100)
}

func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		percent := rapid.IntRange(0, 20).Draw(rt, "percent")
		b := route.NewRetryBudget(percent)
		first, retries := 0, 0
		for _, deposit := range rapid.SliceOfN(rapid.Bool(), 0, 500).Draw(rt, "deposits") {
			if deposit {
				b.Deposit()
				first++
			} else if b.TryWithdraw() {
				retries++
			}
			assert.Assert(rt, 100*(retries-3) <= percent*first)
		}
	})
}

func TestFailureTracker(t *testing.T) {
	var tracker route.FailureTracker
	all := func(string) bool { return true }
	assert.Assert(t, !tracker.RecordFailure("j", "w0", all))
	assert.Assert(t, !tracker.RecordFailure("j", "w0", all))
	assert.Assert(t, !tracker.RecordFailure("j", "w1", all))
	assert.Assert(t, !tracker.RecordFailure("j", "w2", func(w string) bool { return w != "w1" }))
	assert.Assert(t, tracker.HasFailedOn("j", "w2"))
	assert.Assert(t, tracker.RecordFailure("j", "w3", func(w string) bool { return w != "w1" }))
	tracker.Forget("j")
	assert.Assert(t, !tracker.HasFailedOn("j", "w2"))
}
