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
	passStarts  = 3
	passSpacing = 190 // seconds
)

// Tables returns the comparisons of sizing policies and of maintenance passes for one user, the same on every run.
func Tables(userName string) []replay.Table {
	u := userOf(userName)
	t := newTrace(len(u.pools), u.seed)
	return []replay.Table{sizingTable(u, t), passTable(u, t)}
}

// joint returns the policy with the user's weights, as a gate would choose it.
func (u user) joint() sizing.Policy {
	cfg, _ := decl.Compile(u.objects(option{vms: vmsOfPool, pace: 1}))
	return sizing.ForFleet(cfg.Fleet())
}

func sizingOptions(u user) []option {
	var out []option
	add := func(name string, policy sizing.Policy, vms int) {
		out = append(out, option{name: name, policy: policy, vms: vms, minServing: 4, waveMinimum: 4, pace: vmsOfRack})
	}
	for _, vms := range []int{10, 11, 12, 13} {
		add(fmt.Sprintf("static, %d VMs a pool", vms), sizing.Static{}, vms)
	}
	for _, high := range []float64{0.85, 0.90, 0.95, 1.00, 1.05} {
		add(fmt.Sprintf("threshold, %.0f%% and 30%%", 100*high), sizing.NewThreshold(high, 0.30), vmsOfPool)
	}
	add("joint, share weighed 8 times", u.weighed(equalShortfall).joint(), vmsOfPool)
	add("joint, user's weights (chosen)", u.joint(), vmsOfPool)
	return out
}

func sizingTable(u user, t trace) replay.Table {
	table := replay.NewTable("Sizing: each pool in turn at five times its mean",
		"policy", "fleet", "shortfall, slot-seconds", "buffer, idle VM-seconds", "moves", "fewest serving")
	for _, o := range sizingOptions(u) {
		r := newWorld(u, o, t).run()
		table.AddRow(o.name, strconv.Itoa(o.vms*len(u.pools)), strconv.Itoa(r.shortfall),
			fmt.Sprintf("%.0f", r.buffer), strconv.Itoa(r.moves), strconv.Itoa(r.worst))
	}
	return table
}

func passOptions(u user) []option {
	base := option{policy: u.joint(), vms: vmsOfPool, minServing: 4, waveMinimum: 8, pace: vmsOfRack, wave: true}
	named := func(name string, edit func(*option)) option {
		o := base
		o.name = name
		edit(&o)
		return o
	}
	return []option{
		named("joint, no demand", func(o *option) { o.calm = true }),
		named("joint", func(*option) {}),
		named("joint, a rack fails", func(o *option) { o.rackFails = true }),
		named("joint, roll-out weighed 4 times", func(o *option) { o.policy = u.weighed(u.weights.forRollOut()).joint() }),
		named("joint, one VM at a time", func(o *option) { o.pace = 1 }),
		named("joint, minimum of 9", func(o *option) { o.waveMinimum = 9 }),
		named("threshold, 85% and 30%", func(o *option) { o.policy = sizing.NewThreshold(0.85, 0.30) }),
		named("static", func(o *option) { o.policy = sizing.Static{} }),
	}
}

func passTable(u user, t trace) replay.Table {
	table := replay.NewTable("Maintenance pass over every VM, four to a rack, at least eight serving in each pool; mean of three starts",
		"policy", "roll-out", "longest", "moves", "shortfall, slot-seconds", "fewest serving in a pool")
	for _, o := range passOptions(u) {
		s := runPasses(u, o, t)
		table.AddRow(o.name, rollOutText(s.total/passStarts), rollOutText(s.longest), strconv.Itoa(s.moves/passStarts),
			strconv.Itoa(s.shortfall/passStarts), strconv.Itoa(s.worst))
	}
	return table
}

// passSum adds up the measures of the passes of one option.
type passSum struct {
	total     time.Duration
	longest   time.Duration
	moves     int
	shortfall int
	worst     int
}

// runPasses runs one pass from each start; one that does not end makes the roll-out times zero.
func runPasses(u user, o option, t trace) passSum {
	sum := passSum{worst: o.vms}
	ended := true
	for i := range passStarts {
		o.waveStart = int(turnTime.Seconds()) + i*passSpacing
		r := newWorld(u, o, t).run()
		ended = ended && r.rollOut > 0
		sum.total += r.rollOut
		sum.longest = max(sum.longest, r.rollOut)
		sum.moves += r.moves
		sum.shortfall += r.shortfall
		sum.worst = min(sum.worst, r.worst)
	}
	if !ended {
		sum.total, sum.longest = 0, 0
	}
	return sum
}

func rollOutText(d time.Duration) string {
	if d == 0 {
		return "not done"
	}
	return d.Round(time.Second).String()
}
