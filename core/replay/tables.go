package replay

import (
	"fmt"
	"sync"
	"time"
)

const (
	gossipPeriod = 250 * time.Millisecond
	blameWorkers = 3
	longReserve  = 25 // percent
	badWorkers   = 2
)

// Tables returns the comparisons of share and routing for a user, the same on every run.
func Tables(user string) []Table {
	return tables(deploymentOf(user), fullSize())
}

func tables(d deployment, sz size) []Table {
	return []Table{
		shareTable(d, sz),
		longTable(d, sz),
		workersTable(d, sz),
		retryTable(d, sz),
		setAsideTable(d, sz),
		hedgeTable(d, sz),
	}
}

// replayAll replays every cycle of every queue, the queues of a cycle side by side.
func replayAll(d deployment, p policy, f faults, sz size) *meter {
	total := newMeter(d, sz.workers*slotsPerWorker, trace{})
	for cycle := range sz.cycles {
		meters := make([]*meter, sz.queues)
		var wg sync.WaitGroup
		for queue := range sz.queues {
			wg.Go(func() { meters[queue] = newWorld(d, p, f, cycle, queue, sz).run() })
		}
		wg.Wait()
		for _, m := range meters {
			total.merge(m)
		}
	}
	return total
}

// chosen is the policy in force: one dispatcher for the pool, least loaded, ejection, a retry budget.
func chosen() policy {
	return policy{name: "chosen", layout: perPool, setAside: blameWorkers, reserve: longReserve}
}

func (p policy) with(name string, change func(*policy)) policy {
	p.name = name
	change(&p)
	return p
}

func shareTable(d deployment, sz size) Table {
	t := NewTable(
		d.name+": share of a pool that is asked for 1.5 times its slots",
		"policy", "share error max %", "p99 %", "lacked max %", "idle %", "urgent start p99 s", "worst s", "patient wait max s",
		"background late", "calm wait p50 ms", "p99 ms", "refused", "moved",
	)
	for _, p := range []policy{
		chosen().with("first come, first served, per pool", func(p *policy) { p.arrival = true }),
		chosen().with("local queues at 8 gates, two random", func(p *policy) { p.layout, p.choice = perGate, twoRandom }),
		chosen().with("fair, per data centre", func(p *policy) { p.layout = perDataCentre }),
		chosen().with("fair, per data centre, requests spread by slots", func(p *policy) { p.layout, p.joining = perDataCentre, spreadBySlots }),
		chosen().with("fair, per data centre, shortest queue", func(p *policy) { p.layout, p.joining = perDataCentre, shortestQueue }),
		chosen().with("fair, per data centre, team's shortest queue", func(p *policy) { p.layout, p.joining = perDataCentre, shortestTeamQueue }),
		chosen().with("fair, per data centre, team's shortest queue, levelled", func(p *policy) {
			p.layout, p.joining, p.gossip, p.level = perDataCentre, shortestTeamQueue, gossipPeriod, true
		}),
		chosen().with("fair, per data centre, corrected", func(p *policy) {
			p.layout, p.gossip, p.correct = perDataCentre, gossipPeriod, true
		}),
		chosen().with("fair, per data centre, levelled", func(p *policy) {
			p.layout, p.gossip, p.level = perDataCentre, gossipPeriod, true
		}),
		chosen().with("fair, per data centre, corrected and levelled", func(p *policy) {
			p.layout, p.gossip, p.correct, p.level = perDataCentre, gossipPeriod, true, true
		}),
		chosen().with("fair, per pool (chosen)", func(*policy) {}),
	} {
		m := replayAll(d, p, faults{}, sz)
		t.AddRow(
			p.name, percent(quantile(m.errors, 1)), percent(quantile(m.errors, 0.99)), percent(quantile(m.lacked, 1)),
			percent(m.idle/max(m.saturated, 1)),
			inSeconds(quantile(m.urgentWait, 0.99)), inSeconds(quantile(m.urgentWait, 1)), inSeconds(m.patientWait),
			fmt.Sprintf("%d of %d", m.late, m.finishes),
			inMillis(quantile(m.calmWait, 0.5)), inMillis(quantile(m.calmWait, 0.99)), fmt.Sprint(m.refused), fmt.Sprint(m.moved),
		)
	}
	return t
}

func longTable(d deployment, sz size) Table {
	t := NewTable(
		d.name+": urgent work behind a flood of long work",
		"slots that long runs leave free", "urgent within 8.4 s %", "urgent start p99 s", "worst s", "share error max %", "idle %", "patient wait max s", "refused",
	)
	for _, reserve := range []int{0, 10, 20, 25, 30, 40} {
		p := chosen()
		p.reserve = reserve
		m := replayAll(d, p, faults{longFlood: true}, sz)
		t.AddRow(
			reserveName(reserve), percent(m.inTime()), inSeconds(quantile(m.urgentWait, 0.99)), inSeconds(quantile(m.urgentWait, 1)),
			percent(quantile(m.errors, 1)), percent(m.idle/max(m.saturated, 1)), inSeconds(m.patientWait), fmt.Sprint(m.refused),
		)
	}
	return t
}

func reserveName(percent int) string {
	if percent == longReserve {
		return fmt.Sprintf("%d%% (chosen)", percent)
	}
	return fmt.Sprintf("%d%%", percent)
}

func workersTable(d deployment, sz size) Table {
	t := NewTable(
		fmt.Sprintf("%s: %d of %d workers fail everything for a third of the turn", d.name, badWorkers, sz.workers),
		"policy", "failed", "set aside wrongly", "attempts per request", "share error max %", "idle %",
		"urgent start worst s", "answer p50", "p99",
	)
	for _, p := range []policy{
		chosen().with("least loaded, ejection (chosen)", func(*policy) {}),
		chosen().with("least loaded, no ejection", func(p *policy) { p.noEjection = true }),
		chosen().with("two random choices, ejection", func(p *policy) { p.choice = twoRandom }),
		chosen().with("two random choices, no ejection", func(p *policy) { p.choice, p.noEjection = twoRandom, true }),
	} {
		m := replayAll(d, p, faults{badWorkers: badWorkers}, sz)
		t.AddRow(
			p.name, fmt.Sprint(m.failed), fmt.Sprint(m.innocent), factor(m.attempts, m.firstTries), percent(quantile(m.errors, 1)),
			percent(m.idle/max(m.saturated, 1)), inSeconds(quantile(m.urgentWait, 1)), times(quantile(m.answers, 0.5)), times(quantile(m.answers, 0.99)),
		)
	}
	return t
}

func retryTable(d deployment, sz size) Table {
	t := NewTable(
		d.name+": all workers fail everything for a sixth of the turn",
		"retries", "upstream load in the outage", "over all", "failed", "urgent start worst s", "done",
	)
	for _, p := range []policy{
		chosen().with("never", func(p *policy) { p.retrying = never }),
		chosen().with("budget of 10% (chosen)", func(*policy) {}),
		chosen().with("up to three for each request", func(p *policy) { p.retrying = threeTimes }),
	} {
		m := replayAll(d, p, faults{outage: true}, sz)
		t.AddRow(
			p.name, factor(m.outage.attempts, m.outage.firstTries), factor(m.attempts, m.firstTries), fmt.Sprint(m.failed),
			inSeconds(quantile(m.urgentWait, 1)), fmt.Sprint(m.done),
		)
	}
	return t
}

func setAsideTable(d deployment, sz size) Table {
	t := NewTable(
		fmt.Sprintf("%s: jobs that can never run, and %d bad workers", d.name, badWorkers),
		"set aside after", "set aside", "wrongly", "slot-seconds failed", "share error max %", "lacked max %", "patient wait max s",
	)
	for _, workers := range []int{0, 1, 2, 3, 5} {
		p := chosen()
		p.setAside = workers
		m := replayAll(d, p, faults{badWorkers: badWorkers}, sz)
		t.AddRow(
			setAsideName(workers), fmt.Sprint(m.setAside), fmt.Sprint(m.innocent), fmt.Sprintf("%.0f", m.wasted),
			percent(quantile(m.errors, 1)), percent(quantile(m.lacked, 1)), inSeconds(m.patientWait),
		)
	}
	return t
}

func setAsideName(workers int) string {
	switch workers {
	case 0:
		return "never"
	case blameWorkers:
		return fmt.Sprintf("%d distinct workers (chosen)", workers)
	default:
		return fmt.Sprintf("%d distinct workers", workers)
	}
}

func hedgeTable(d deployment, sz size) Table {
	t := NewTable(
		d.name+": a second attempt for idempotent requests that run long (times in median run times)",
		"policy", "answer p50", "p99", "p99.9", "attempts per request", "share error max %",
	)
	for _, p := range []policy{
		chosen().with("no second attempt (chosen)", func(*policy) {}),
		chosen().with("second attempt", func(p *policy) { p.hedging = true }),
	} {
		m := replayAll(d, p, faults{}, sz)
		t.AddRow(
			p.name, times(quantile(m.answers, 0.5)), times(quantile(m.answers, 0.99)), times(quantile(m.answers, 0.999)),
			factor(m.attempts, m.firstTries), percent(quantile(m.errors, 1)),
		)
	}
	return t
}

func percent(part float64) string { return fmt.Sprintf("%.1f", 100*part) }

func inSeconds(s float64) string { return fmt.Sprintf("%.2f", s) }

func inMillis(s float64) string { return fmt.Sprintf("%.1f", 1000*s) }

func times(n float64) string { return fmt.Sprintf("%.2f", n) }

func factor(a, b int) string { return fmt.Sprintf("%.3f", float64(a)/float64(max(b, 1))) }
