package replay

import (
	"slices"
	"time"

	"mangowing/core/codes"
	"mangowing/core/decl"
)

const urgentTarget = 8400 * time.Millisecond

// meter takes down what a replay achieves.
type meter struct {
	deployment deployment
	trace      trace
	shareMeter
	urgent      int       // urgent requests in the turn
	urgentWait  []float64 // seconds, of requests in the turn
	calmWait    []float64 // of requests that met a pool with free slots
	answers     []float64 // times to the answer in median run times, of requests that met a pool with free slots
	patientWait float64   // the longest
	late        int       // background work past its latest finish
	finishes    int
	done        int
	refused     int
	failed      int
	setAside    int
	innocent    int // set aside although it could run
	moved       int // waiting requests moved between dispatchers
	attempts    int
	firstTries  int
	wasted      float64 // slot-seconds of failed attempts
	outage      struct{ attempts, firstTries int }
}

func newMeter(d deployment, slots int, t trace) *meter {
	return &meter{deployment: d, trace: t, shareMeter: newShareMeter(d, slots)}
}

func (m *meter) arrived(r *request) {
	if r.stream.class == decl.Urgent && m.inTurn(r) {
		m.urgent++
	}
	r.calm = sum(m.waiting) == 0 && float64(sum(m.running)) < m.slots
}

func (m *meter) inTurn(r *request) bool {
	return r.demand.arrive >= m.trace.turnStart && r.demand.arrive < m.trace.turnEnd
}

func (m *meter) started(r *request, now time.Duration, outage bool) {
	m.running[r.demand.team]++
	m.attempts++
	if outage {
		m.outage.attempts++
	}
	if r.started {
		return
	}
	r.started = true
	m.firstTries++
	if outage {
		m.outage.firstTries++
	}
	m.waited(r, (now - r.demand.arrive).Seconds())
}

// inTime returns the part of the urgent requests that started within the target; one that was shed did not.
func (m *meter) inTime() float64 {
	n := 0
	for _, wait := range m.urgentWait {
		if wait <= urgentTarget.Seconds() {
			n++
		}
	}
	return float64(n) / float64(max(m.urgent, 1))
}

func (m *meter) waited(r *request, wait float64) {
	if r.calm {
		m.calmWait = append(m.calmWait, wait)
	}
	switch r.stream.class {
	case decl.Urgent:
		if m.inTurn(r) {
			m.urgentWait = append(m.urgentWait, wait)
		}
	case decl.Patient:
		m.patientWait = max(m.patientWait, wait)
	}
}

func (m *meter) stopped(a *attempt, ran time.Duration) {
	m.running[a.request.demand.team]--
	if a.fails {
		m.wasted += ran.Seconds()
	}
}

func (m *meter) ended(r *request, now time.Duration) {
	if r.mayFinish() {
		m.finishes++
		if r.code != codes.OK || now > r.demand.finish {
			m.late++
		}
	}
	switch r.code {
	case codes.OK:
		m.answered(r, now)
	case codes.UpstreamBroke:
		m.failed++
	case codes.JobSetAside:
		m.setAside++
		if !r.demand.poison {
			m.innocent++
		}
	case codes.QueueFull, codes.DeadlineUnmeetable:
		m.refused++
	}
}

func (m *meter) answered(r *request, now time.Duration) {
	m.done++
	if r.calm && r.stream.idempotent && !r.stream.job() {
		m.answers = append(m.answers, float64(now-r.demand.arrive)/float64(r.stream.run))
	}
}

// mayFinish tells whether the request has a latest finish and could meet it on a full worker if it never waited.
func (r *request) mayFinish() bool {
	d := r.demand
	slowest := time.Duration((1 + contention) * float64(d.straggles))
	return d.finish > 0 && !d.poison && d.arrive+slowest <= d.finish
}

// merge adds what another replay achieved.
func (m *meter) merge(o *meter) {
	m.shareMeter.merge(o.shareMeter)
	m.urgent += o.urgent
	m.urgentWait = append(m.urgentWait, o.urgentWait...)
	m.calmWait = append(m.calmWait, o.calmWait...)
	m.answers = append(m.answers, o.answers...)
	m.patientWait = max(m.patientWait, o.patientWait)
	m.late += o.late
	m.finishes += o.finishes
	m.done += o.done
	m.refused += o.refused
	m.failed += o.failed
	m.setAside += o.setAside
	m.innocent += o.innocent
	m.moved += o.moved
	m.attempts += o.attempts
	m.firstTries += o.firstTries
	m.wasted += o.wasted
	m.outage.attempts += o.outage.attempts
	m.outage.firstTries += o.outage.firstTries
}

// quantile returns the value below which the given part of the values lies, 0 for none.
func quantile(values []float64, part float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(part*float64(len(sorted))), len(sorted)-1)]
}
