package replay

import (
	"fmt"
	"sync"
	"time"
)

const (
	gossipPeriod         = 250 * time.Millisecond
	setAsideWorkers      = 3
	chosenLongRunReserve = 25 // percent
	badWorkerCount       = 2
)

// Tables returns the comparisons of scheduling and routing policies for a deployment. They are the same on every run.
func Tables(name string) []Table {
	return tables(deploymentByName(name), fullSize())
}

func tables(d deployment, sz traceSize) []Table {
	return []Table{
		shareTable(d, sz),
		longRunTable(d, sz),
		workersTable(d, sz),
		retriesTable(d, sz),
		setAsideTable(d, sz),
		hedgeTable(d, sz),
	}
}

// replayAll replays every cycle of every queue, the queues of a cycle concurrently, and returns the merged measurements.
func replayAll(d deployment, p policy, f faults, sz traceSize) *meter {
	total := newMeter(d, sz.workers*slotsPerWorker, trace{})
	for cycle := range sz.cycles {
		meters := make([]*meter, sz.queues)
		var wg sync.WaitGroup
		for queue := range sz.queues {
			wg.Go(func() { meters[queue] = newSimulation(d, p, f, cycle, queue, sz).run() })
		}
		wg.Wait()
		for _, m := range meters {
			total.merge(m)
		}
	}
	return total
}

// chosenPolicy returns the policy that the gates use: one dispatcher for the pool, least loaded worker, ejection and a
// retry budget.
func chosenPolicy() policy {
	return policy{name: "chosen", layout: perPool, setAsideAfter: setAsideWorkers, longRunReserve: chosenLongRunReserve}
}

func (p policy) with(name string, change func(*policy)) policy {
	p.name = name
	change(&p)
	return p
}

func shareTable(d deployment, sz traceSize) Table {
	t := NewTable(
		d.name+": share of a pool that is asked for 1.5 times its slots",
		"policy", "share error max %", "p99 %", "lacked max %", "idle %", "urgent start p99 s", "worst s", "patient wait max s",
		"background late", "calm wait p50 ms", "p99 ms", "refused", "moved",
	)
	for _, p := range []policy{
		chosenPolicy().with("first come, first served, per pool", func(p *policy) { p.fifo = true }),
		chosenPolicy().with("local queues at 8 gates, two random", func(p *policy) { p.layout, p.workerChoice = perGate, twoRandom }),
		chosenPolicy().with("fair, per data centre", func(p *policy) { p.layout = perDataCentre }),
		chosenPolicy().with("fair, per data centre, requests spread by slots", func(p *policy) { p.layout, p.dispatcherChoice = perDataCentre, spreadBySlots }),
		chosenPolicy().with("fair, per data centre, shortest queue", func(p *policy) { p.layout, p.dispatcherChoice = perDataCentre, shortestQueue }),
		chosenPolicy().with("fair, per data centre, team's shortest queue", func(p *policy) { p.layout, p.dispatcherChoice = perDataCentre, shortestTeamQueue }),
		chosenPolicy().with("fair, per data centre, team's shortest queue, levelled", func(p *policy) {
			p.layout, p.dispatcherChoice, p.gossipInterval, p.rebalances = perDataCentre, shortestTeamQueue, gossipPeriod, true
		}),
		chosenPolicy().with("fair, per data centre, corrected", func(p *policy) {
			p.layout, p.gossipInterval, p.exchangesService = perDataCentre, gossipPeriod, true
		}),
		chosenPolicy().with("fair, per data centre, levelled", func(p *policy) {
			p.layout, p.gossipInterval, p.rebalances = perDataCentre, gossipPeriod, true
		}),
		chosenPolicy().with("fair, per data centre, corrected and levelled", func(p *policy) {
			p.layout, p.gossipInterval, p.exchangesService, p.rebalances = perDataCentre, gossipPeriod, true, true
		}),
		chosenPolicy().with("fair, per pool (chosen)", func(*policy) {}),
	} {
		m := replayAll(d, p, faults{}, sz)
		t.AddRow(
			p.name, formatPercent(quantile(m.shareErrors, 1)), formatPercent(quantile(m.shareErrors, 0.99)), formatPercent(quantile(m.shortfalls, 1)),
			formatPercent(m.idleSlotSeconds/max(m.saturatedSlotSeconds, 1)),
			formatSeconds(quantile(m.urgentWaits, 0.99)), formatSeconds(quantile(m.urgentWaits, 1)), formatSeconds(m.maxPatientWait),
			fmt.Sprintf("%d of %d", m.missedFinishes, m.feasibleFinishes),
			formatMillis(quantile(m.freeSlotWaits, 0.5)), formatMillis(quantile(m.freeSlotWaits, 0.99)), fmt.Sprint(m.refused), fmt.Sprint(m.moved),
		)
	}
	return t
}

func longRunTable(d deployment, sz traceSize) Table {
	t := NewTable(
		d.name+": urgent work behind a flood of long work",
		"slots that long runs leave free", "urgent within 8.4 s %", "urgent start p99 s", "worst s", "share error max %", "idle %", "patient wait max s", "refused",
	)
	for _, reserve := range []int{0, 10, 20, 25, 30, 40} {
		p := chosenPolicy()
		p.longRunReserve = reserve
		m := replayAll(d, p, faults{longFlood: true}, sz)
		t.AddRow(
			reserveName(reserve), formatPercent(m.urgentInTimeFraction()), formatSeconds(quantile(m.urgentWaits, 0.99)), formatSeconds(quantile(m.urgentWaits, 1)),
			formatPercent(quantile(m.shareErrors, 1)), formatPercent(m.idleSlotSeconds/max(m.saturatedSlotSeconds, 1)), formatSeconds(m.maxPatientWait), fmt.Sprint(m.refused),
		)
	}
	return t
}

func reserveName(percent int) string {
	if percent == chosenLongRunReserve {
		return fmt.Sprintf("%d%% (chosen)", percent)
	}
	return fmt.Sprintf("%d%%", percent)
}

func workersTable(d deployment, sz traceSize) Table {
	t := NewTable(
		fmt.Sprintf("%s: %d of %d workers fail everything for a third of the turn", d.name, badWorkerCount, sz.workers),
		"policy", "failed", "set aside wrongly", "attempts per request", "share error max %", "idle %",
		"urgent start worst s", "answer p50", "p99",
	)
	for _, p := range []policy{
		chosenPolicy().with("least loaded, ejection (chosen)", func(*policy) {}),
		chosenPolicy().with("least loaded, no ejection", func(p *policy) { p.noEjection = true }),
		chosenPolicy().with("two random choices, ejection", func(p *policy) { p.workerChoice = twoRandom }),
		chosenPolicy().with("two random choices, no ejection", func(p *policy) { p.workerChoice, p.noEjection = twoRandom, true }),
	} {
		m := replayAll(d, p, faults{badWorkers: badWorkerCount}, sz)
		t.AddRow(
			p.name, fmt.Sprint(m.failed), fmt.Sprint(m.setAsideWrongly), formatRatio(m.attempts, m.startedRequests), formatPercent(quantile(m.shareErrors, 1)),
			formatPercent(m.idleSlotSeconds/max(m.saturatedSlotSeconds, 1)), formatSeconds(quantile(m.urgentWaits, 1)), formatTimes(quantile(m.responseTimes, 0.5)), formatTimes(quantile(m.responseTimes, 0.99)),
		)
	}
	return t
}

func retriesTable(d deployment, sz traceSize) Table {
	t := NewTable(
		d.name+": all workers fail everything for a sixth of the turn",
		"retries", "upstream load in the outage", "over all", "failed", "urgent start worst s", "done",
	)
	for _, p := range []policy{
		chosenPolicy().with("never", func(p *policy) { p.retryRule = neverRetry }),
		chosenPolicy().with("budget of 10% (chosen)", func(*policy) {}),
		chosenPolicy().with("up to three for each request", func(p *policy) { p.retryRule = retryThreeTimes }),
	} {
		m := replayAll(d, p, faults{outage: true}, sz)
		t.AddRow(
			p.name, formatRatio(m.outage.attempts, m.outage.startedRequests), formatRatio(m.attempts, m.startedRequests), fmt.Sprint(m.failed),
			formatSeconds(quantile(m.urgentWaits, 1)), fmt.Sprint(m.succeeded),
		)
	}
	return t
}

func setAsideTable(d deployment, sz traceSize) Table {
	t := NewTable(
		fmt.Sprintf("%s: jobs that can never run, and %d bad workers", d.name, badWorkerCount),
		"set aside after", "set aside", "wrongly", "slot-seconds failed", "share error max %", "lacked max %", "patient wait max s",
	)
	for _, workers := range []int{0, 1, 2, 3, 5} {
		p := chosenPolicy()
		p.setAsideAfter = workers
		m := replayAll(d, p, faults{badWorkers: badWorkerCount}, sz)
		t.AddRow(
			setAsideName(workers), fmt.Sprint(m.setAside), fmt.Sprint(m.setAsideWrongly), fmt.Sprintf("%.0f", m.failedSlotSeconds),
			formatPercent(quantile(m.shareErrors, 1)), formatPercent(quantile(m.shortfalls, 1)), formatSeconds(m.maxPatientWait),
		)
	}
	return t
}

func setAsideName(workers int) string {
	switch workers {
	case 0:
		return "never"
	case setAsideWorkers:
		return fmt.Sprintf("%d distinct workers (chosen)", workers)
	default:
		return fmt.Sprintf("%d distinct workers", workers)
	}
}

func hedgeTable(d deployment, sz traceSize) Table {
	t := NewTable(
		d.name+": a second attempt for idempotent requests that run long (times in median run times)",
		"policy", "answer p50", "p99", "p99.9", "attempts per request", "share error max %",
	)
	for _, p := range []policy{
		chosenPolicy().with("no second attempt (chosen)", func(*policy) {}),
		chosenPolicy().with("second attempt", func(p *policy) { p.hedges = true }),
	} {
		m := replayAll(d, p, faults{}, sz)
		t.AddRow(
			p.name, formatTimes(quantile(m.responseTimes, 0.5)), formatTimes(quantile(m.responseTimes, 0.99)), formatTimes(quantile(m.responseTimes, 0.999)),
			formatRatio(m.attempts, m.startedRequests), formatPercent(quantile(m.shareErrors, 1)),
		)
	}
	return t
}

func formatPercent(fraction float64) string { return fmt.Sprintf("%.1f", 100*fraction) }

func formatSeconds(s float64) string { return fmt.Sprintf("%.2f", s) }

func formatMillis(s float64) string { return fmt.Sprintf("%.1f", 1000*s) }

func formatTimes(n float64) string { return fmt.Sprintf("%.2f", n) }

func formatRatio(a, b int) string { return fmt.Sprintf("%.3f", float64(a)/float64(max(b, 1))) }
