package reach

import "time"

const (
	// MaxSilence is how long neither the log nor the owner may have answered before a gate can count as cut off.
	MaxSilence = time.Second
	// QueryAfter is the silence after which other gates should be asked. A healthy gate hears from the log every 500 ms (the
	// wait of its reads) and needs no queries.
	QueryAfter = 600 * time.Millisecond
	// queryAnswerTime is how long a query of other gates stays open before it counts as unanswered. With QueryAfter it leaves the
	// decision to be made at MaxSilence.
	queryAnswerTime = 350 * time.Millisecond
	// peerAnswerValidity is how long an answer of another gate describes the log.
	peerAnswerValidity = time.Second
	// othersValidity is how long the time at which another gate heard from the log counts. It exceeds the time between two answers of
	// a slow log.
	othersValidity = 2 * time.Second
	// minLead is how much later than this gate another one must have heard from the log to prove that the log answers others.
	// Two gates with the same connection differ by up to the wait of a read.
	minLead = 500 * time.Millisecond
	// maxLead bounds the lead that is needed when the log answers slowly.
	maxLead = 2 * time.Second
	// gapMemory is how long a slow answer of the log raises the lead.
	gapMemory = 10 * time.Second
	// maxTickGap is the longest time between two ticks of a process that runs. After a longer one answers may be waiting unread, so
	// the silence is counted anew.
	maxTickGap = 300 * time.Millisecond
)

// Place is where another gate stands as seen from this one.
type Place int

// The places. UnknownDataCentre is that of a gate whose entry in the list of gates names none.
const (
	UnknownDataCentre Place = iota
	SameDataCentre
	OtherDataCentre
)

// Cause is why a gate counts as cut off.
type Cause string

// The causes.
const (
	// NoCause is that of a gate that is not cut off.
	NoCause Cause = ""
	// LogAnswersOthers means that another gate has heard from the log since this one last did.
	LogAnswersOthers Cause = "log-answers-others"
	// NoOtherDataCentre means that no gate of another data centre answers.
	NoOtherDataCentre Cause = "no-other-data-centre"
)

// Detector tells whether a gate is cut off. All times are durations since one fixed point, such as the machine's boot. The zero
// value is a gate that is connected and has heard nothing yet. It is not safe for concurrent use.
type Detector struct {
	logAt      time.Duration // last answer of the log to this gate
	ownerLogAt time.Duration // last time at which the owner, reached by this gate, had an answer of the log
	resumedAt  time.Duration // when ticks began or went on after a pause
	tickedAt   time.Duration
	othersAt   time.Duration // last time at which another gate is known to have had an answer of the log
	remoteAt   time.Duration // last answer of a gate that may be in another data centre
	queriedAt  time.Duration // oldest query of other data centres without an answer; 0 if none
	gap        time.Duration // longest time between two answers of the log within gapMemory
	gapAt      time.Duration // when that gap ended
	cause      Cause
}

// CutOff reports whether the gate is cut off.
func (d *Detector) CutOff() bool { return d.cause != NoCause }

// Cause returns why the gate is cut off, NoCause if it is not.
func (d *Detector) Cause() Cause { return d.cause }

// LogAge returns how long ago the log last answered this gate. It counts from 0 if the log never answered.
func (d *Detector) LogAge(now time.Duration) time.Duration { return max(0, now-d.logAt) }

// LogGap returns the longest recent time between two answers of the log, at most 2 s.
func (d *Detector) LogGap(now time.Duration) time.Duration {
	if now-d.gapAt > gapMemory {
		return 0
	}
	return d.gap
}

// Silence returns for how long this gate has had no way to store a job: neither the log answered it, nor did an owner that
// hears from the log.
func (d *Detector) Silence(now time.Duration) time.Duration { return max(0, now-d.silentSince()) }

func (d *Detector) silentSince() time.Duration { return max(d.logAt, d.ownerLogAt, d.resumedAt) }

// LogAnswered records an answer of the log, received at the given time.
func (d *Detector) LogAnswered(at time.Duration) {
	// A longer silence is an outage and doesn't tell how slowly the log answers.
	if gap := at - d.logAt; gap <= maxLead && (gap >= d.gap || at-d.gapAt > gapMemory) {
		d.gap, d.gapAt = gap, at
	}
	d.logAt = max(d.logAt, at)
	d.queriedAt = 0
}

// OwnerAnswered records an answer of the owner, received at the given time. logAt is when the owner last heard from the log, judged as
// early as is possible: an owner that hears nothing from the log can't store a job either.
func (d *Detector) OwnerAnswered(received, logAt time.Duration, place Place) {
	if place == OtherDataCentre && received-logAt <= minLead {
		// This owner was not cut off together with this gate, so its answer counts in full.
		logAt = received
	}
	d.ownerLogAt = max(d.ownerLogAt, logAt)
}

// PeersQueried records that gates of other data centres were asked at the given time. It is not called if none is known: a gate
// that knows none can't tell an outage of the log from a cut.
func (d *Detector) PeersQueried(at time.Duration) {
	if d.queriedAt <= d.silentSince() {
		d.queriedAt = at
	}
}

// PeerAnswered records an answer of another gate, received at the given time. logAt is when that gate last heard from the log, judged
// as early as is possible, and logGap its LogGap: a gate that hears seldom from the log proves less by having heard from it later.
func (d *Detector) PeerAnswered(received, logAt, logGap time.Duration, place Place) {
	d.othersAt = max(d.othersAt, logAt-max(0, logGap-minLead))
	if place != SameDataCentre {
		d.remoteAt = max(d.remoteAt, received)
		d.queriedAt = 0
	}
}

// Tick decides anew and reports whether CutOff changed. It must be called at least every 300 ms; after a longer pause the silence
// is counted anew.
func (d *Detector) Tick(now time.Duration) (changed bool) {
	if now-d.tickedAt > maxTickGap {
		d.resumedAt, d.queriedAt = now, 0
	}
	d.tickedAt = now
	wasCutOff := d.CutOff()
	// A pause is no answer, so a gate that is cut off remains so.
	if paused := d.resumedAt == now; !paused || !wasCutOff {
		d.cause = d.decide(now)
	}
	return wasCutOff != d.CutOff()
}

func (d *Detector) decide(now time.Duration) Cause {
	if d.isConnected(now) {
		return NoCause
	}
	if d.othersAt > d.silentSince()+d.lead(now) && now-d.othersAt < othersValidity {
		return LogAnswersOthers
	}
	if d.remoteAt > d.silentSince() && now-d.remoteAt < peerAnswerValidity {
		return NoCause // the log is down for everybody
	}
	if d.queriedAt > d.silentSince() && now-d.queriedAt >= queryAnswerTime {
		return NoOtherDataCentre
	}
	return d.cause
}

// isConnected reports whether a job could be stored within MaxSilence. While the gate is cut off a pause doesn't count.
func (d *Detector) isConnected(now time.Duration) bool {
	since := d.silentSince()
	if d.CutOff() {
		since = max(d.logAt, d.ownerLogAt)
	}
	return now-since < MaxSilence
}

// lead returns how much later than this gate another one must have heard from the log to prove that the log answers others.
func (d *Detector) lead(now time.Duration) time.Duration { return max(minLead, d.LogGap(now)) }
