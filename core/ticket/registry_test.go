package ticket

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/core/codes"
)

var startTime = time.UnixMilli(1_000_000)

func newTestAnswer(body string) Answer {
	return NewAnswer(AnswerSpec{Status: 200, Header: []string{"Content-Type", "text/plain"}, Body: []byte(body)})
}

func decisionName(d Decision) string {
	switch d := d.(type) {
	case Start:
		return "start"
	case RepeatAnswer:
		return "repeat " + d.Answer().Code().Entry().Name() + " " + string(d.Answer().Spec().Body)
	case InProgress:
		return "running"
	case Mismatch:
		return "mismatch"
	case AnswerGone:
		return "answer-gone"
	case HeldElsewhere:
		return "at " + d.Holder()
	case UnknownTicket:
		return "unknown"
	case OutcomeUnknown:
		return "lost"
	default:
		return "claim"
	}
}

func TestTicketDecisions(t *testing.T) {
	r := New("gate-1.A", Options{MaxAnswerBytes: 300})
	first, other := r.Mint(startTime), r.Mint(startTime)
	unused := r.Mint(startTime)
	foreign := New("gate-2.B", Options{}).Mint(startTime)
	forged := strings.Replace(first, "gate-1.A", "gate-1.A~", 1)
	scenarios := []struct {
		testName string
		act      func()
		ticket   string
		digest   string
		at       time.Duration
		expected string
	}{
		{"first", nil, first, "d", 0, "start"},
		{"again", nil, first, "d", 0, "running"},
		{"another request", nil, first, "e", 0, "mismatch"},
		{"minted elsewhere", nil, foreign, "d", 0, "at gate-2.B"},
		{"no ticket", nil, "order-7", "d", 0, "unknown"},
		{"changed", nil, forged, "d", 0, "unknown"},
		{"changed proof", nil, unused[:len(unused)-2], "d", 0, "unknown"},
		{"certainly not run", func() { r.Release(first) }, first, "d", 0, "start"},
		{"finished", func() { r.Finish(first, newTestAnswer("whole")) }, first, "d", 0, "repeat ok whole"},
		{"evicted", func() {
			r.Begin(other, "d", startTime)
			r.Finish(other, newTestAnswer(strings.Repeat("x", 200)))
		}, first, "d", 0, "answer-gone"},
		{"outcome settled later", func() {
			r.Finish(other, NewAnswer(AnswerSpec{Code: codes.UpstreamBroke}))
		}, other, "d", 0, "repeat upstream-broke "},
		{"used, old, not yet forgotten", nil, first, "d", DefaultLifetime + time.Second, "answer-gone"},
		{"unused and too old", nil, unused, "d", DefaultLifetime, "unknown"},
		{"forgotten", func() { r.Expire(startTime.Add(DefaultLifetime)) }, first, "d", DefaultLifetime, "unknown"},
		{"forgotten and the clock set back", nil, first, "d", 0, "unknown"},
	}
	for _, s := range scenarios {
		if s.act != nil {
			s.act()
		}
		assert.Equal(t, decisionName(r.Begin(s.ticket, s.digest, startTime.Add(s.at))), s.expected, s.testName)
	}
	incarnation, ok := Issuer(foreign)
	assert.Assert(t, ok)
	assert.Equal(t, incarnation, "gate-2.B")
}

func TestTicketHandover(t *testing.T) {
	predecessor, successor := New("gate-1.A", Options{}), New("gate-2.B", Options{})
	unused, done, started := predecessor.Mint(startTime), predecessor.Mint(startTime), predecessor.Mint(startTime)
	predecessor.Begin(done, "d", startTime)
	predecessor.Finish(done, newTestAnswer("whole"))
	predecessor.Begin(started, "d", startTime)
	raw, err := json.Marshal(predecessor.HandOver("gate-2.B"))
	assert.NilError(t, err)
	var handover HandoverState
	assert.NilError(t, json.Unmarshal(raw, &handover))
	assert.Equal(t, decisionName(successor.Begin(unused, "d", startTime)), "at gate-1.A", "before the hand-over arrives no gate starts it")
	assert.Assert(t, successor.Adopt(handover))

	scenarios := []struct {
		testName string
		act      func()
		registry *Registry
		ticket   string
		expected string
	}{
		{"predecessor forwards", nil, predecessor, unused, "at gate-2.B"},
		{"successor starts", nil, successor, unused, "start"},
		{"once", func() { assert.Assert(t, successor.Adopt(handover)) }, successor, unused, "running"},
		{"answers move", nil, successor, done, "repeat ok whole"},
		{"work at the predecessor goes on", nil, successor, started, "running"},
		{"its answer is forwarded", func() {
			late := newTestAnswer("late")
			assert.Equal(t, predecessor.Finish(started, late), "gate-2.B")
			assert.Equal(t, successor.RecordPeerOutcome(started, "gate-1.A", &late), "")
			assert.Equal(t, successor.RecordPeerOutcome(started, "gate-1.A", nil), "")
		}, successor, started, "repeat ok late"},
	}
	for _, s := range scenarios {
		if s.act != nil {
			s.act()
		}
		assert.Equal(t, decisionName(s.registry.Begin(s.ticket, "d", startTime)), s.expected, s.testName)
	}
}

func TestRepeatedMessageReleasesNoLaterRun(t *testing.T) {
	predecessor, successor := New("gate-1.A", Options{}), New("gate-2.B", Options{})
	started := predecessor.Mint(startTime)
	predecessor.Begin(started, "d", startTime)
	successor.Adopt(predecessor.HandOver("gate-2.B"))
	assert.Equal(t, predecessor.Release(started), "gate-2.B")
	successor.RecordPeerOutcome(started, "gate-1.A", nil)
	assert.Equal(t, decisionName(successor.Begin(started, "d", startTime)), "start")
	successor.RecordPeerOutcome(started, "gate-1.A", nil)
	assert.Equal(t, decisionName(successor.Begin(started, "d", startTime)), "running")
}

func TestPredecessorGoneBeforeItsAnswerArrived(t *testing.T) {
	predecessor, successor := New("gate-1.A", Options{}), New("gate-2.B", Options{})
	started := predecessor.Mint(startTime)
	predecessor.Begin(started, "d", startTime)
	successor.Adopt(predecessor.HandOver("gate-2.B"))
	successor.MarkIncarnationGone("gate-1.A", NewAnswer(AnswerSpec{Code: codes.HolderGone}))
	assert.Equal(t, decisionName(successor.Begin(started, "d", startTime)), "repeat holder-gone ")
}

func TestClaims(t *testing.T) {
	own, foreign := NewFirstClaim("gate-1.A", "d"), NewFirstClaim("gate-2.B", "d")
	id := KeyID("paint", "order-7")
	scenarios := []struct {
		testName string
		act      func(r *Registry)
		first    FirstClaim
		expected string
	}{
		{"nobody claimed", func(*Registry) {}, FirstClaim{}, "claim"},
		{"claiming", func(r *Registry) { r.BeginKey(id, "d", FirstClaim{}, startTime) }, FirstClaim{}, "running"},
		{"another was first", func(*Registry) {}, foreign, "at gate-2.B"},
		{"another request was first", func(*Registry) {}, NewFirstClaim("gate-2.B", "e"), "mismatch"},
		{"own claim that is not remembered", func(*Registry) {}, own, "lost"},
		{"abandoned, not in force", func(r *Registry) {
			r.BeginKey(id, "d", FirstClaim{}, startTime)
			r.AbandonClaim(id)
		}, FirstClaim{}, "claim"},
		{"abandoned, in force after all", func(r *Registry) {
			r.BeginKey(id, "d", FirstClaim{}, startTime)
			r.AbandonClaim(id)
		}, own, "start"},
		{"abandoned, another was first", func(r *Registry) {
			r.BeginKey(id, "d", FirstClaim{}, startTime)
			r.AbandonClaim(id)
		}, foreign, "at gate-2.B"},
		{"read back as first", func(r *Registry) {
			r.BeginKey(id, "d", FirstClaim{}, startTime)
			assert.Equal(t, decisionName(r.ResolveClaim(id, "d", own, startTime)), "start")
		}, own, "running"},
		{"read back as second", func(r *Registry) {
			r.BeginKey(id, "d", FirstClaim{}, startTime)
			assert.Equal(t, decisionName(r.ResolveClaim(id, "d", foreign, startTime)), "at gate-2.B")
		}, foreign, "at gate-2.B"},
		{"handed over", func(r *Registry) { r.HandOver("gate-3.C") }, own, "at gate-3.C"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			r := New("gate-1.A", Options{})
			s.act(r)
			assert.Equal(t, decisionName(r.BeginKey(id, "d", s.first, startTime)), s.expected)
		})
	}
}
