package guard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// openBody returns an entry whose request has a declared body of which some bytes arrived.
func openBody(t *Table, opened time.Time, expected int64, received int) *Entry {
	e := NewEntry(func(Reason) {})
	t.Open(e, opened)
	t.Receive(e, 1, opened)
	t.Begin(e, expected, opened)
	t.Receive(e, received, opened)
	return e
}

// Guards against a crowd of bodies that stop just short of their end: they filled the memory, and would shut out ordinary callers if what came
// last were refused.
func TestOldestAndLeastCompleteRequestEndsFirst(t *testing.T) {
	scenarios := []struct {
		testName string
		opened   [3]float64 // of three bodies of 100 bytes
		received [3]int
		served   int // the entry that has served a request before, or -1
		ended    int
	}{
		{"the oldest", [3]float64{2, 1, 3}, [3]int{50, 50, 50}, -1, 1},
		{"the least complete of the same age", [3]float64{1, 1, 1}, [3]int{60, 50, 40}, -1, 2},
		{"one that stopped just short long ago", [3]float64{0, 3, 3.5}, [3]int{99, 10, 10}, -1, 0},
		{"not an old customer", [3]float64{1, 1.5, 1.5}, [3]int{50, 50, 40}, 0, 2},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			table := NewTable(300, 10)
			var entries [3]*Entry
			for n := range entries {
				entries[n] = openBody(table, at(s.opened[n]), 100, s.received[n])
				entries[n].served = n == s.served
				table.Charge(entries[n], 100, at(s.opened[n]))
			}
			ordinary := openBody(table, at(4), 100, 100)
			victims, goesOn := table.Charge(ordinary, 100, at(4))
			assert.Assert(t, goesOn)
			assert.Equal(t, len(victims), 1)
			assert.Equal(t, victims[0], entries[s.ended])
			assert.Equal(t, table.Ended(entries[s.ended]), Memory)
			used, _ := table.Used()
			assert.Equal(t, used, int64(300))
		})
	}
}

// Guards against ending what is being served, and against refusing the largest legal request while nothing else is there.
func TestServedRequestsStayAndALoneRequestIsNotBounded(t *testing.T) {
	table := NewTable(100, 2)
	served := openBody(table, at(0), 100, 100)
	_, goesOn := table.Charge(served, 150, at(0))
	assert.Assert(t, goesOn, "a request that is alone")
	assert.Assert(t, table.Complete(served))
	late := openBody(table, at(1), 100, 10)
	victims, goesOn := table.Charge(late, 10, at(9))
	assert.Assert(t, !goesOn && len(victims) == 1 && victims[0] == late, "the one that came last is refused beside requests that are served")
	assert.Assert(t, !table.Complete(late))

	full := NewTable(100, 1)
	first := openBody(full, at(0), 0, 1)
	_, opened := full.Open(NewEntry(func(Reason) {}), at(9))
	assert.Assert(t, !opened, "its place isn't taken while it is served")
	full.SetWriting(first, at(9))
	victim, opened := full.Open(NewEntry(func(Reason) {}), at(9.5+blockedWriteTime.Seconds()))
	assert.Assert(t, opened && victim == first, "an answer that nobody reads holds no place")
}

// Guards against closing connections before the process has come to read what they sent, and against ending small requests, which frees nothing.
func TestNewAndSmallRequestsStay(t *testing.T) {
	table := NewTable(1000, 2)
	large, small := openBody(table, at(1), 0, 1), openBody(table, at(0), -1, 1)
	table.Begin(large, -1, at(1))
	table.Charge(small, 100, at(0))
	victims, goesOn := table.Charge(large, 950, at(1))
	assert.Assert(t, !goesOn && len(victims) == 1 && victims[0] == large, "100 of an equal share of 500 is small")

	full := NewTable(1000, 1)
	full.Open(NewEntry(func(Reason) {}), at(0))
	_, opened := full.Open(NewEntry(func(Reason) {}), at(0.2))
	assert.Assert(t, !opened)
	_, opened = full.Open(NewEntry(func(Reason) {}), at(0.3))
	assert.Assert(t, opened)
}

// Guards against memory that is not given back, by which a gate would refuse everything in the end.
func TestMemoryIsGivenBack(t *testing.T) {
	scenarios := []struct {
		testName string
		finish   func(*Table, *Entry)
	}{
		{"answered", func(t *Table, e *Entry) { t.Finish(e, at(1)) }},
		{"closed", func(t *Table, e *Entry) { t.Close(e) }},
		{"ended, then closed", func(t *Table, e *Entry) { t.End(e, HeaderTooLarge); t.Close(e); t.Close(e) }},
		{"expired", func(t *Table, _ *Entry) { t.Expire(at(9), Limits{BodyTimeout: time.Second}) }},
		{"in favour of another", func(t *Table, _ *Entry) { t.SetConnections(0, at(2)) }},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			table := NewTable(100, 2)
			e := openBody(table, at(0), 100, 1)
			table.Charge(e, 90, at(0))
			s.finish(table, e)
			used, _ := table.Used()
			assert.Equal(t, used, int64(0))
		})
	}
}

// Guards against connections without progress that stay for good, and against ending those within their limits.
func TestTimeLimits(t *testing.T) {
	limits := Limits{HeaderTimeout: 2 * time.Second, BodyTimeout: 3 * time.Second, IdleTimeout: 5 * time.Second}
	scenarios := []struct {
		testName string
		prepare  func(*Table, *Entry)
		after    float64
		ended    Reason
	}{
		{"idle", func(*Table, *Entry) {}, 5.1, IdleTimeout},
		{"idle within the limit", func(*Table, *Entry) {}, 5, ""},
		{"header that trickles", func(t *Table, e *Entry) { t.Receive(e, 1, at(0)); t.Receive(e, 1, at(2)) }, 2.1, HeaderTimeout},
		{"body that trickles", func(t *Table, e *Entry) { t.Begin(e, 9, at(0)); t.Receive(e, 1, at(2.5)) }, 5.4, ""},
		{"body that stopped", func(t *Table, e *Entry) { t.Begin(e, -1, at(0)) }, 3.1, BodyTimeout},
		{"request that is served", func(t *Table, e *Entry) { t.Begin(e, 0, at(0)) }, 90, ""},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			table, e := NewTable(100, 2), NewEntry(func(Reason) {})
			table.Open(e, at(0))
			s.prepare(table, e)
			victims := table.Expire(at(s.after), limits)
			assert.Equal(t, len(victims) == 1, s.ended != "")
			assert.Equal(t, table.Ended(e), s.ended)
		})
	}
}

// Guards against a team whose bodies are read without a bound, and against holding back one within its rate.
func TestRates(t *testing.T) {
	var rates Rates
	allowed := 0
	for n := range 1000 {
		if rates.Allow("hot", 10, at(float64(n)/500)) {
			allowed++
		}
	}
	assert.Equal(t, allowed, MinBurst+19, "the burst and two seconds at the rate")
	for n := range 2 * MinBurst {
		assert.Equal(t, rates.Allow("seldom", 0.05, at(0)), n < MinBurst)
	}
	for n := range 100 {
		assert.Assert(t, rates.Allow("ordinary", 10, at(float64(n)/10)))
		assert.Assert(t, rates.Allow("unlimited", 0, at(0)))
	}
}
