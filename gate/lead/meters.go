package lead

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"mangowing/core/sched"
	"mangowing/gate/segs"
)

// Names of the owner's metrics. docs/OPERATIONS.md lists their units and meanings.
const (
	metricTakeovers   = "mangowing_takeovers_total"
	metricTakeover    = "mangowing_takeover_seconds"
	metricAppend      = "mangowing_journal_append_seconds"
	metricRecords     = "mangowing_journal_records_total"
	metricJobs        = "mangowing_owner_jobs_total"
	metricAttempts    = "mangowing_attempts_total"
	metricPoolGauge   = "mangowing_pool"
	metricOffers      = "mangowing_offers_total"
	metricJobMemory   = "mangowing_jobs_bytes"
	metricHeldOrders  = "mangowing_held_orders"
	metricStrain      = "mangowing_owner_strain_seconds"
	metricWorkerCalls = "mangowing_worker_calls_total"
	metricSwitches    = "mangowing_journal_switches_total"
	metricPartition   = "mangowing_journal_partition"
	metricStalled     = "mangowing_journal_stalled_seconds"
)

// recordTakeover counts a takeover and records how long its phases took.
func recordTakeover(fence, replay time.Duration) {
	metrics.GetOrCreateCounter(metricTakeovers).Inc()
	metrics.GetOrCreateHistogram(metricTakeover + `{phase="fence"}`).Update(fence.Seconds())
	metrics.GetOrCreateHistogram(metricTakeover + `{phase="replay"}`).Update(replay.Seconds())
}

func recordAppend(records int, took time.Duration) {
	metrics.GetOrCreateCounter(metricRecords).Add(records)
	metrics.GetOrCreateHistogram(metricAppend).Update(took.Seconds())
}

// recordSwitch logs and counts a switch of the journal, and how long nothing was stored.
func recordSwitch(r switchResult, stalled time.Duration, snapshotBytes int) {
	klog.InfoS("journal-switched", "segment", r.segment.Number, "from", r.from, "to", r.segment.Partition, "reason", r.reason,
		"stalled-ms", stalled.Milliseconds(), "snapshot-bytes", snapshotBytes, "attempts", r.attempts)
	metrics.GetOrCreateCounter(fmt.Sprintf("%s{reason=%q}", metricSwitches, r.reason)).Inc()
	metrics.GetOrCreateHistogram(metricStalled).Update(stalled.Seconds())
	publishSegment(r.segment)
}

func publishSegment(s segs.Segment) { setGauge(metricPartition, "", float64(s.Partition)) }

func countJob(outcome string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("%s{outcome=%q}", metricJobs, outcome)).Inc()
}

func countWorkerCall(call string, answer sched.OrderAnswer) {
	metrics.GetOrCreateCounter(fmt.Sprintf("%s{call=%q,answer=%q}", metricWorkerCalls, call, answer)).Inc()
}

// publishMetrics sets the gauges for the scheduler's counters and for each pool's load.
func publishMetrics(sc *sched.Scheduler, loads []sched.PoolLoad, heldOrders int) {
	counters := sc.Counters()
	setGauge(metricAttempts, `{what="started"}`, float64(counters.Started()))
	setGauge(metricAttempts, `{what="refused"}`, float64(counters.RefusedStarts()))
	for outcome := sched.AttemptDone; outcome <= sched.AttemptOrphaned; outcome++ {
		setGauge(metricAttempts, fmt.Sprintf("{what=%q}", outcome), float64(counters.Ended(outcome)))
	}
	counters.Offers(func(result, cause string, count uint64) {
		setGauge(metricOffers, fmt.Sprintf("{result=%q,cause=%q}", result, cause), float64(count))
	})
	for _, l := range loads {
		for what, value := range map[string]float64{
			"machines": float64(l.Machines()), "needed": float64(l.Needed()), "usable": float64(l.Schedulable()),
			"waiting-tasks": float64(l.Waiting()), "running-attempts": float64(l.Running()), "idle-cores": l.IdleCores(),
			"arriving-cores": l.Rate(), "batch-cores": l.BatchCores(), "surplus": float64(l.Surplus()),
			"urgent-work": l.UrgentWork(), "late-work": l.LateWork(), "suspects": float64(l.Suspects()),
		} {
			setGauge(metricPoolGauge, fmt.Sprintf("{pool=%q,what=%q}", l.Pool(), what), value)
		}
	}
	setGauge(metricJobMemory, "", float64(sc.JobMemory()))
	setGauge(metricHeldOrders, "", float64(heldOrders))
	setGauge(metricStrain, "", sc.CallLatency().Seconds())
}

// publishPromise sets the gauges for what is promised of a pool.
func publishPromise(p sched.PoolPromise) {
	for what, value := range map[string]float64{
		"usable-cores": p.UsableCoresIn(0), "usable-cores-in-1s": p.UsableCoresIn(time.Second), "usable-cores-in-3s": p.UsableCoresIn(3 * time.Second),
		"promised-in-time": p.InTime(), "promised-late": p.Late(),
	} {
		setGauge(metricPoolGauge, fmt.Sprintf("{pool=%q,what=%q}", p.Pool(), what), value)
	}
}

func setGauge(name, labels string, value float64) {
	metrics.GetOrCreateGauge(name+labels, nil).Set(value)
}
