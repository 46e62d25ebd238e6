package trial

import (
	"fmt"
	"strconv"
	"time"

	"mangowing/core/decl"
	"mangowing/core/replay"
	"mangowing/core/sizing"
)

const (
	passCount    = 3
	passInterval = 190 // seconds
)

// Tables returns the comparisons of sizing policies and of maintenance passes for one user. The result is deterministic.
func Tables(userName string) []replay.Table {
	u := userByName(userName)
	t := newTrace(len(u.pools), u.seed)
	return []replay.Table{sizingTable(u, t), passTable(u, t)}
}

// joint returns the joint policy with the user's weights, as a gate would choose it.
func (u user) joint() sizing.Policy {
	cfg, _ := decl.Compile(u.objects(scenario{vmsPerPool: defaultVMsPerPool, pace: 1}))
	return sizing.ForFleet(cfg.Fleet())
}

func sizingScenarios(u user) []scenario {
	var out []scenario
	add := func(name string, policy sizing.Policy, vms int) {
		out = append(out, scenario{name: name, policy: policy, vmsPerPool: vms, minServing: 4, waveMinimum: 4, pace: vmsPerRack})
	}
	for _, vms := range []int{10, 11, 12, 13} {
		add(fmt.Sprintf("static, %d VMs a pool", vms), sizing.Static{}, vms)
	}
	for _, high := range []float64{0.85, 0.90, 0.95, 1.00, 1.05} {
		add(fmt.Sprintf("threshold, %.0f%% and 30%%", 100*high), sizing.NewThreshold(high, 0.30), defaultVMsPerPool)
	}
	add("joint, share weighed 8 times", u.withWeights(equalShortfallWeights).joint(), defaultVMsPerPool)
	add("joint, user's weights (chosen)", u.joint(), defaultVMsPerPool)
	return out
}

func sizingTable(u user, t trace) replay.Table {
	table := replay.NewTable("Sizing: each pool in turn at five times its mean",
		"policy", "fleet", "shortfall, slot-seconds", "buffer, idle VM-seconds", "moves", "fewest serving")
	for _, sc := range sizingScenarios(u) {
		r := newSimulation(u, sc, t).run()
		table.AddRow(sc.name, strconv.Itoa(sc.vmsPerPool*len(u.pools)), strconv.Itoa(r.shortfall),
			fmt.Sprintf("%.0f", r.idleSeconds), strconv.Itoa(r.moves), strconv.Itoa(r.minServing))
	}
	return table
}

func passScenarios(u user) []scenario {
	base := scenario{policy: u.joint(), vmsPerPool: defaultVMsPerPool, minServing: 4, waveMinimum: 8, pace: vmsPerRack, runsWave: true}
	named := func(name string, edit func(*scenario)) scenario {
		o := base
		o.name = name
		edit(&o)
		return o
	}
	return []scenario{
		named("joint, no demand", func(o *scenario) { o.noDemand = true }),
		named("joint", func(*scenario) {}),
		named("joint, a rack fails", func(o *scenario) { o.rackFails = true }),
		named("joint, roll-out weighed 4 times", func(o *scenario) { o.policy = u.withWeights(u.weights.withHeavyRollOut()).joint() }),
		named("joint, one VM at a time", func(o *scenario) { o.pace = 1 }),
		named("joint, minimum of 9", func(o *scenario) { o.waveMinimum = 9 }),
		named("threshold, 85% and 30%", func(o *scenario) { o.policy = sizing.NewThreshold(0.85, 0.30) }),
		named("static", func(o *scenario) { o.policy = sizing.Static{} }),
	}
}

func passTable(u user, t trace) replay.Table {
	table := replay.NewTable("Maintenance pass over every VM, four to a rack, at least eight serving in each pool; mean of three starts",
		"policy", "roll-out", "longest", "moves", "shortfall, slot-seconds", "fewest serving in a pool")
	for _, sc := range passScenarios(u) {
		s := runPasses(u, sc, t)
		table.AddRow(sc.name, formatRollOut(s.total/passCount), formatRollOut(s.longest), strconv.Itoa(s.moves/passCount),
			strconv.Itoa(s.shortfall/passCount), strconv.Itoa(s.minServing))
	}
	return table
}

// passTotals holds the sums of the results of all passes of one scenario.
type passTotals struct {
	total      time.Duration
	longest    time.Duration
	moves      int
	shortfall  int
	minServing int
}

// runPasses runs one pass from each start. If any pass does not end, the roll-out times are zero.
func runPasses(u user, sc scenario, t trace) passTotals {
	sum := passTotals{minServing: sc.vmsPerPool}
	ended := true
	for i := range passCount {
		sc.waveStart = int(peakDuration.Seconds()) + i*passInterval
		r := newSimulation(u, sc, t).run()
		ended = ended && r.rollOut > 0
		sum.total += r.rollOut
		sum.longest = max(sum.longest, r.rollOut)
		sum.moves += r.moves
		sum.shortfall += r.shortfall
		sum.minServing = min(sum.minServing, r.minServing)
	}
	if !ended {
		sum.total, sum.longest = 0, 0
	}
	return sum
}

func formatRollOut(d time.Duration) string {
	if d == 0 {
		return "not done"
	}
	return d.Round(time.Second).String()
}
