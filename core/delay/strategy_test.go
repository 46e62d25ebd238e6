package delay

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

func repeat(n int, p Place) []Place { return slices.Repeat([]Place{p}, n) }

// Guards against waits that don't pay off, and against starts elsewhere just before room becomes free.
func TestExpectedWaitsOnlyWhileItPaysOff(t *testing.T) {
	soon := Held{Elapsed: 900 * ms, Estimate: time.Second}
	young := Held{Elapsed: 0, Estimate: 5 * time.Second}
	overdue := Held{Elapsed: 3 * time.Second, Estimate: time.Second}
	calm := Offer{Near: time.Second, Factor: 2, Deadline: 10 * time.Second, Useful: 30 * time.Second}
	scenarios := []struct {
		testName string
		places   []Place
		change   func(o *Offer)
		waits    bool
	}{
		{"room soon", repeat(1, soon), nil, true},
		{"no place on the rack", nil, nil, false},
		{"room after more than it saves", repeat(4, young), nil, false},
		{"a task past its estimate isn't about to end", repeat(1, overdue), nil, false},
		{"of many tasks past their estimates one is", repeat(12, overdue), nil, true},
		{"others go first", repeat(1, soon), func(o *Offer) { o.Ahead = 1 }, false},
		{"others go first, room for all", repeat(8, soon), func(o *Offer) { o.Ahead = 3 }, true},
		{"has waited for as long as it would lose", repeat(1, soon), func(o *Offer) { o.Waited = time.Second }, false},
		{"little to lose", repeat(1, Held{Elapsed: 500 * ms, Estimate: time.Second}), func(o *Offer) { o.Factor = 1.1 }, false},
		{"would be late after a wait in vain", repeat(1, soon), func(o *Offer) { o.Deadline = 2050 * ms }, false},
		{"late elsewhere, in time here", repeat(1, soon), func(o *Offer) { o.Deadline = 1500 * ms }, true},
		{"late elsewhere, small chance here", repeat(2, Arriving{In: time.Second}), func(o *Offer) { o.Deadline = 1500 * ms }, false},
		{"of no use after a wait", repeat(1, soon), func(o *Offer) { o.Deadline, o.Useful = -time.Second, 2*time.Second }, false},
		{"a machine arrives soon", repeat(2, Arriving{In: 300 * ms}), nil, true},
		{"a machine arrives late", repeat(2, Arriving{In: 2 * time.Second}), nil, false},
		{"the rack is silent since a moment", repeat(8, Silent{For: 100 * ms}), nil, true},
		{"the rack is silent for long", repeat(8, Silent{For: time.Minute}), nil, false},
		{"hardly pays off alone", repeat(2, Held{Elapsed: 100 * ms, Estimate: time.Second}), nil, false},
		{"pays off since others wait for any room", repeat(2, Held{Elapsed: 100 * ms, Estimate: time.Second}), func(o *Offer) { o.Crowd = 2 }, true},
		{"no estimate", repeat(1, soon), func(o *Offer) { o.Near = 0 }, false},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			o := calm
			if s.change != nil {
				s.change(&o)
			}
			o.Outlook = NewOutlook(o.Penalty(), s.places)
			limit := Expected{}.Limit(o)
			assert.Equal(t, limit > 0, s.waits, "limit %s", limit)
			assert.Assert(t, limit <= max(0, o.Penalty()-o.Waited), "limit %s", limit)
		})
	}
}

// Guards against a distribution that makes a task end twice or never.
func TestProbabilitiesRiseFromZeroToOne(t *testing.T) {
	for _, p := range []Place{Held{0, time.Second}, Held{900 * ms, time.Second}, Held{20 * time.Second, time.Second}, Held{}, Arriving{time.Second}, Arriving{}, Silent{time.Second}} {
		last := p.freeWithin(0)
		assert.Assert(t, last >= 0 && last <= 0.01, "%+v: %g", p, last)
		for wait := 10 * ms; wait < time.Hour; wait *= 2 {
			free := p.freeWithin(wait)
			assert.Assert(t, free >= last && free <= 1, "%+v after %s: %g", p, wait, free)
			last = free
		}
		assert.Assert(t, last > 0.98, "%+v: %g", p, last)
	}
}
