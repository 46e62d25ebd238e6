package ticket

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/core/codes"
)

var begun = time.UnixMilli(1_000_000)

func answer(body string) Answer {
	return NewAnswer(AnswerSpec{Status: 200, Header: []string{"Content-Type", "text/plain"}, Body: []byte(body)})
}

func name(d Decision) string {
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
	first, other := r.Mint(begun), r.Mint(begun)
	unused := r.Mint(begun)
	foreign := New("gate-2.B", Options{}).Mint(begun)
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
		{"surely not run", func() { r.Release(first) }, first, "d", 0, "start"},
		{"finished", func() { r.Finish(first, answer("whole")) }, first, "d", 0, "repeat ok whole"},
		{"evicted", func() {
			r.Begin(other, "d", begun)
			r.Finish(other, answer(strings.Repeat("x", 200)))
		}, first, "d", 0, "answer-gone"},
		{"outcome settled later", func() {
			r.Finish(other, NewAnswer(AnswerSpec{Code: codes.UpstreamBroke}))
		}, other, "d", 0, "repeat upstream-broke "},
		{"used, old, not yet forgotten", nil, first, "d", DefaultLifetime + time.Second, "answer-gone"},
		{"unused and too old", nil, unused, "d", DefaultLifetime, "unknown"},
		{"forgotten", func() { r.Expire(begun.Add(DefaultLifetime)) }, first, "d", DefaultLifetime, "unknown"},
		{"forgotten and the clock set back", nil, first, "d", 0, "unknown"},
	}
	for _, s := range scenarios {
		if s.act != nil {
			s.act()
		}
		assert.Equal(t, name(r.Begin(s.ticket, s.digest, begun.Add(s.at))), s.expected, s.testName)
	}
	incarnation, ok := Issuer(foreign)
	assert.Assert(t, ok)
	assert.Equal(t, incarnation, "gate-2.B")
}

func TestHandOverOfTickets(t *testing.T) {
	giver, heir := New("gate-1.A", Options{}), New("gate-2.B", Options{})
	unused, done, busy := giver.Mint(begun), giver.Mint(begun), giver.Mint(begun)
	giver.Begin(done, "d", begun)
	giver.Finish(done, answer("whole"))
	giver.Begin(busy, "d", begun)
	raw, err := json.Marshal(giver.HandOver("gate-2.B"))
	assert.NilError(t, err)
	var estate HandoverState
	assert.NilError(t, json.Unmarshal(raw, &estate))
	assert.Equal(t, name(heir.Begin(unused, "d", begun)), "at gate-1.A", "before the hand-over arrives nobody starts")
	assert.Assert(t, heir.Adopt(estate))

	scenarios := []struct {
		testName string
		act      func()
		registry *Registry
		ticket   string
		expected string
	}{
		{"the giver sends on", nil, giver, unused, "at gate-2.B"},
		{"the heir starts", nil, heir, unused, "start"},
		{"once", func() { assert.Assert(t, heir.Adopt(estate)) }, heir, unused, "running"},
		{"answers move", nil, heir, done, "repeat ok whole"},
		{"work at the giver runs on", nil, heir, busy, "running"},
		{"its answer is passed on", func() {
			late := answer("late")
			assert.Equal(t, giver.Finish(busy, late), "gate-2.B")
			assert.Equal(t, heir.RecordPeerOutcome(busy, "gate-1.A", &late), "")
			assert.Equal(t, heir.RecordPeerOutcome(busy, "gate-1.A", nil), "")
		}, heir, busy, "repeat ok late"},
	}
	for _, s := range scenarios {
		if s.act != nil {
			s.act()
		}
		assert.Equal(t, name(s.registry.Begin(s.ticket, "d", begun)), s.expected, s.testName)
	}
}

func TestRepeatedMessageReleasesNoLaterRun(t *testing.T) {
	giver, heir := New("gate-1.A", Options{}), New("gate-2.B", Options{})
	busy := giver.Mint(begun)
	giver.Begin(busy, "d", begun)
	heir.Adopt(giver.HandOver("gate-2.B"))
	assert.Equal(t, giver.Release(busy), "gate-2.B")
	heir.RecordPeerOutcome(busy, "gate-1.A", nil)
	assert.Equal(t, name(heir.Begin(busy, "d", begun)), "start")
	heir.RecordPeerOutcome(busy, "gate-1.A", nil)
	assert.Equal(t, name(heir.Begin(busy, "d", begun)), "running")
}

func TestGiverGoneBeforeItsAnswerCame(t *testing.T) {
	giver, heir := New("gate-1.A", Options{}), New("gate-2.B", Options{})
	busy := giver.Mint(begun)
	giver.Begin(busy, "d", begun)
	heir.Adopt(giver.HandOver("gate-2.B"))
	heir.MarkIncarnationGone("gate-1.A", NewAnswer(AnswerSpec{Code: codes.HolderGone}))
	assert.Equal(t, name(heir.Begin(busy, "d", begun)), "repeat holder-gone ")
}

func TestClaims(t *testing.T) {
	mine, foreign := NewFirstClaim("gate-1.A", "d"), NewFirstClaim("gate-2.B", "d")
	id := KeyID("paint", "order-7")
	scenarios := []struct {
		testName string
		act      func(r *Registry)
		first    FirstClaim
		expected string
	}{
		{"nobody claimed", func(*Registry) {}, FirstClaim{}, "claim"},
		{"claiming", func(r *Registry) { r.BeginKey(id, "d", FirstClaim{}, begun) }, FirstClaim{}, "running"},
		{"another was first", func(*Registry) {}, foreign, "at gate-2.B"},
		{"another request was first", func(*Registry) {}, NewFirstClaim("gate-2.B", "e"), "mismatch"},
		{"own claim that is not remembered", func(*Registry) {}, mine, "lost"},
		{"abandoned, not in force", func(r *Registry) {
			r.BeginKey(id, "d", FirstClaim{}, begun)
			r.AbandonClaim(id)
		}, FirstClaim{}, "claim"},
		{"abandoned, in force after all", func(r *Registry) {
			r.BeginKey(id, "d", FirstClaim{}, begun)
			r.AbandonClaim(id)
		}, mine, "start"},
		{"abandoned, another was first", func(r *Registry) {
			r.BeginKey(id, "d", FirstClaim{}, begun)
			r.AbandonClaim(id)
		}, foreign, "at gate-2.B"},
		{"read back as first", func(r *Registry) {
			r.BeginKey(id, "d", FirstClaim{}, begun)
			assert.Equal(t, name(r.ResolveClaim(id, "d", mine, begun)), "start")
		}, mine, "running"},
		{"read back as second", func(r *Registry) {
			r.BeginKey(id, "d", FirstClaim{}, begun)
			assert.Equal(t, name(r.ResolveClaim(id, "d", foreign, begun)), "at gate-2.B")
		}, foreign, "at gate-2.B"},
		{"handed over", func(r *Registry) { r.HandOver("gate-3.C") }, mine, "at gate-3.C"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			r := New("gate-1.A", Options{})
			s.act(r)
			assert.Equal(t, name(r.BeginKey(id, "d", s.first, begun)), s.expected)
		})
	}
}
