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
	for _, name := range replay.Deployments() {
		t.Run(name, func(t *testing.T) {
			text := ""
			for _, table := range Tables(name) {
				text += fmt.Sprintln(table)
			}
			golden.Assert(t, text, name+".golden")
		})
	}
}

// TestChosenPolicyMeetsTheTargets compares the joint policy with the threshold policy at its default marks and with static
// sizes. With weights for at most the shortfall of the threshold policy, the joint policy must need at most half its moves,
// and fewer idle VMs than the smallest static sizes with as little shortfall.
func TestChosenPolicyMeetsTheTargets(t *testing.T) {
	for _, name := range replay.Deployments() {
		t.Run(name, func(t *testing.T) {
			u := userByName(name)
			tr := newTrace(len(u.pools), u.seed)
			run := func(p sizing.Policy, vms int) result {
				return newSimulation(u, scenario{policy: p, vmsPerPool: vms, minServing: 4, waveMinimum: 4, pace: 1}, tr).run()
			}
			joint := run(u.withWeights(equalShortfallWeights).joint(), defaultVMsPerPool)
			threshold := run(sizing.NewThreshold(0.85, 0.30), defaultVMsPerPool)
			static := run(sizing.Static{}, 13)
			assert.Assert(t, 2*joint.moves <= threshold.moves, "moves: %d of %d", joint.moves, threshold.moves)
			assert.Assert(t, joint.shortfall <= threshold.shortfall, "shortfall: %d of %d", joint.shortfall, threshold.shortfall)
			assert.Assert(t, run(sizing.Static{}, 12).shortfall > joint.shortfall, "smaller static sizes have more shortfall")
			assert.Assert(t, joint.idleSeconds < static.idleSeconds, "idle VM-seconds: %.0f of %.0f", joint.idleSeconds, static.idleSeconds)
		})
	}
}

func TestPassKeepsMinServing(t *testing.T) {
	u := userByName("vlnka")
	tr := newTrace(len(u.pools), u.seed)
	o := scenario{policy: sizing.Static{}, vmsPerPool: defaultVMsPerPool, minServing: 4, waveMinimum: 8, pace: vmsPerRack, runsWave: true, noDemand: true}
	r := newSimulation(u, o, tr).run()
	assert.Assert(t, r.rollOut > 0, "the pass did not end")
	assert.Equal(t, r.minServing, 8)
}
