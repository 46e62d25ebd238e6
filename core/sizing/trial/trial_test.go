package trial

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"mangowing/core/replay"
	"mangowing/core/sizing"
)

func TestTablesAreTheSameOnEveryRun(t *testing.T) {
	for _, name := range replay.Users() {
		t.Run(name, func(t *testing.T) {
			text := ""
			for _, table := range Tables(name) {
				text += fmt.Sprintln(table)
			}
			golden.Assert(t, text, name+".golden")
		})
	}
}

// TestChosenPolicyMeetsTheTargets holds the chosen policy, weighed for no more shortfall than the threshold policy at its
// default marks has, to half its moves, and to less buffer than the smallest static sizes with so little shortfall.
func TestChosenPolicyMeetsTheTargets(t *testing.T) {
	for _, name := range replay.Users() {
		t.Run(name, func(t *testing.T) {
			u := userOf(name)
			tr := newTrace(len(u.pools), u.seed)
			run := func(p sizing.Policy, vms int) result {
				return newWorld(u, option{policy: p, vms: vms, minServing: 4, waveMinimum: 4, pace: 1}, tr).run()
			}
			joint := run(u.weighed(equalShortfall).joint(), vmsOfPool)
			threshold := run(sizing.NewThreshold(0.85, 0.30), vmsOfPool)
			static := run(sizing.Static{}, 13)
			assert.Assert(t, 2*joint.moves <= threshold.moves, "moves: %d of %d", joint.moves, threshold.moves)
			assert.Assert(t, joint.shortfall <= threshold.shortfall, "shortfall: %d of %d", joint.shortfall, threshold.shortfall)
			assert.Assert(t, run(sizing.Static{}, 12).shortfall > joint.shortfall, "smaller static sizes have more shortfall")
			assert.Assert(t, joint.buffer < static.buffer, "buffer: %.0f of %.0f", joint.buffer, static.buffer)
		})
	}
}

func TestPassKeepsItsBudgets(t *testing.T) {
	u := userOf("vlnka")
	tr := newTrace(len(u.pools), u.seed)
	o := option{policy: sizing.Static{}, vms: vmsOfPool, minServing: 4, waveMinimum: 8, pace: vmsOfRack, wave: true, calm: true}
	r := newWorld(u, o, tr).run()
	assert.Assert(t, r.rollOut > 0, "the pass did not end")
	assert.Equal(t, r.worst, 8)
}
