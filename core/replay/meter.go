package replay

import (
	"slices"
	"time"

	"mangowing/core/codes"
	"mangowing/core/decl"
)

// urgentTarget is the longest wait of an urgent request that counts as started in time.
const urgentTarget = 8400 * time.Millisecond

// meter collects the measurements of a replay.
type meter struct {
	deployment deployment
	trace      trace
	shareMeter
	urgentArrivals    int       // urgent requests that arrived in the turn
	urgentWaits       []float64 // in seconds, of urgent requests that arrived in the turn
	freeSlotWaits     []float64 // in seconds, of requests that found free slots on arrival
	responseTimes     []float64 // in median run times, of idempotent non-job requests that found free slots on arrival
	maxPatientWait    float64   // in seconds
	missedFinishes    int       // requests in feasibleFinishes that did not succeed by their latest finish
	feasibleFinishes  int       // requests that could meet their latest finish
	succeeded         int
	refused           int
	failed            int
	setAside          int
	setAsideWrongly   int // set aside although they could run
	moved             int // waiting requests that were moved between dispatchers
	attempts          int
	startedRequests   int
	failedSlotSeconds float64 // slot-seconds of failed attempts
	outage            struct{ attempts, startedRequests int }
}

func newMeter(d deployment, slots int, t trace) *meter {
	return &meter{deployment: d, trace: t, shareMeter: newShareMeter(d, slots)}
}

func (m *meter) recordArrival(r *request) {
	if r.stream.class == decl.Urgent && m.arrivedInTurn(r) {
		m.urgentArrivals++
	}
	r.foundFreeSlots = sum(m.waiting) == 0 && float64(sum(m.running)) < m.slots
}

func (m *meter) arrivedInTurn(r *request) bool {
	return r.demand.arrivesAt >= m.trace.turnStart && r.demand.arrivesAt < m.trace.turnEnd
}

func (m *meter) recordStart(r *request, now time.Duration, outage bool) {
	m.running[r.demand.teamIndex]++
	m.attempts++
	if outage {
		m.outage.attempts++
	}
	if r.hasStarted {
		return
	}
	r.hasStarted = true
	m.startedRequests++
	if outage {
		m.outage.startedRequests++
	}
	m.recordWait(r, (now - r.demand.arrivesAt).Seconds())
}

// urgentInTimeFraction returns the fraction of the urgent requests that started within urgentTarget. Requests that were
// shed count as late.
func (m *meter) urgentInTimeFraction() float64 {
	n := 0
	for _, wait := range m.urgentWaits {
		if wait <= urgentTarget.Seconds() {
			n++
		}
	}
	return float64(n) / float64(max(m.urgentArrivals, 1))
}

func (m *meter) recordWait(r *request, wait float64) {
	if r.foundFreeSlots {
		m.freeSlotWaits = append(m.freeSlotWaits, wait)
	}
	switch r.stream.class {
	case decl.Urgent:
		if m.arrivedInTurn(r) {
			m.urgentWaits = append(m.urgentWaits, wait)
		}
	case decl.Patient:
		m.maxPatientWait = max(m.maxPatientWait, wait)
	}
}

func (m *meter) recordStop(a *attempt, ran time.Duration) {
	m.running[a.request.demand.teamIndex]--
	if a.willFail {
		m.failedSlotSeconds += ran.Seconds()
	}
}

func (m *meter) recordEnd(r *request, now time.Duration) {
	if r.canMeetLatestFinish() {
		m.feasibleFinishes++
		if r.code != codes.OK || now > r.demand.latestFinish {
			m.missedFinishes++
		}
	}
	switch r.code {
	case codes.OK:
		m.recordSuccess(r, now)
	case codes.UpstreamBroke:
		m.failed++
	case codes.JobSetAside:
		m.setAside++
		if !r.demand.alwaysFails {
			m.setAsideWrongly++
		}
	case codes.QueueFull, codes.DeadlineUnmeetable:
		m.refused++
	}
}

func (m *meter) recordSuccess(r *request, now time.Duration) {
	m.succeeded++
	if r.foundFreeSlots && r.stream.isIdempotent && !r.stream.isJob() {
		m.responseTimes = append(m.responseTimes, float64(now-r.demand.arrivesAt)/float64(r.stream.medianRunTime))
	}
}

// canMeetLatestFinish reports whether the request has a latest finish and would meet it on a full worker without waiting.
func (r *request) canMeetLatestFinish() bool {
	d := r.demand
	slowest := time.Duration((1 + fullWorkerSlowdown) * float64(d.firstRunTime))
	return d.latestFinish > 0 && !d.alwaysFails && d.arrivesAt+slowest <= d.latestFinish
}

// merge adds the measurements of another replay.
func (m *meter) merge(o *meter) {
	m.shareMeter.merge(o.shareMeter)
	m.urgentArrivals += o.urgentArrivals
	m.urgentWaits = append(m.urgentWaits, o.urgentWaits...)
	m.freeSlotWaits = append(m.freeSlotWaits, o.freeSlotWaits...)
	m.responseTimes = append(m.responseTimes, o.responseTimes...)
	m.maxPatientWait = max(m.maxPatientWait, o.maxPatientWait)
	m.missedFinishes += o.missedFinishes
	m.feasibleFinishes += o.feasibleFinishes
	m.succeeded += o.succeeded
	m.refused += o.refused
	m.failed += o.failed
	m.setAside += o.setAside
	m.setAsideWrongly += o.setAsideWrongly
	m.moved += o.moved
	m.attempts += o.attempts
	m.startedRequests += o.startedRequests
	m.failedSlotSeconds += o.failedSlotSeconds
	m.outage.attempts += o.outage.attempts
	m.outage.startedRequests += o.outage.startedRequests
}

// quantile returns the value below which the given fraction of the values lies, 0 if there are no values.
func quantile(values []float64, fraction float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(fraction*float64(len(sorted))), len(sorted)-1)]
}
