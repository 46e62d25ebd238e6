package sched

import (
	"cmp"
	"slices"
	"time"
)

// candidate is a step with waiting tasks, as rated for one placement pass.
type candidate struct {
	step        *step
	outlook     deadlineOutlook
	latestStart time.Time // latest start at which the job still meets its deadline, by the estimates
}

// deadlineOutlook says whether a step's job can still meet its deadline.
type deadlineOutlook uint8

const (
	onTime  deadlineOutlook = iota
	atRisk                  // only if the estimates are not too low
	late                    // no longer, or the job exceeds its team's share
	ofNoUse                 // so late that it is of no use to its client
)

// timedRoundFactor is by how much a round of a timed job may take longer than its critical path.
const timedRoundFactor = 2

const (
	// A job that has not started is on time only if it has some slack beyond its estimates: this share of what remains,
	// plus stepMargin for each step. Without the margin, the jobs that have waited longest in a backlog would be started
	// just too late, one after the other.
	estimateMargin = 0.35
	stepMargin     = 120 * time.Millisecond
)

const (
	// A pass over a pool's waiting steps takes time in proportion to their number, so the interval between two passes is
	// at least this much for each step.
	passIntervalPerStep = 15 * time.Microsecond
	// This many steps don't count towards the interval, so that passes over a short queue are not delayed.
	freePassSteps = 32
)

// placeWaiting starts waiting tasks of a pool, class by class in the order of rankOf. Within a class the teams take turns
// by their weights. The pass is skipped while nothing has changed in the pool or too many starts are in flight.
func (sc *Scheduler) placeWaiting(now time.Time, p *pool) {
	if len(p.waitingSteps) == 0 || !p.dirty || !sc.startWindow.hasSpace() || now.Sub(p.lastPass) < p.minPassInterval() {
		return
	}
	p.dirty, p.lastPass = false, now
	pass := sc.newPass(p, now)
	if len(pass.workers) == 0 {
		return
	}
	for _, class := range sc.candidateClasses(now, p) {
		sc.placeClass(now, p, class, pass)
	}
}

// minPassInterval returns the least time between two passes over the pool's waiting steps.
func (p *pool) minPassInterval() time.Duration {
	return time.Duration(max(0, len(p.waitingSteps)-freePassSteps)) * passIntervalPerStep
}

// candidateClasses groups the pool's waiting steps by rank. Earlier classes are placed first.
func (sc *Scheduler) candidateClasses(now time.Time, p *pool) [][]candidate {
	byRank := map[int][]candidate{}
	for s := range p.waitingSteps {
		c := sc.candidateOf(now, s)
		rank := rankOf(c)
		byRank[rank] = append(byRank[rank], c)
	}
	ranks := make([]int, 0, len(byRank))
	for rank, class := range byRank {
		ranks = append(ranks, rank)
		slices.SortFunc(class, compareCandidates)
	}
	slices.Sort(ranks)
	classes := make([][]candidate, 0, len(ranks))
	for _, rank := range ranks {
		classes = append(classes, byRank[rank])
	}
	return classes
}

// candidateOf estimates whether the step can still be done by its deadline, and when it has to start for that. A round of
// a timed job should be done within twice its critical path after it is due.
func (sc *Scheduler) candidateOf(now time.Time, s *step) candidate {
	j := s.job()
	if s.spec.LongRunning {
		return candidate{step: s, latestStart: s.readyAt}
	}
	deadline, _ := j.deadline()
	if j.spec.IsTimed() {
		deadline = j.spec.RoundDue(s.round.number).Add(j.criticalPath(allSteps) * timedRoundFactor)
	}
	remaining := s.remainingCriticalPath()
	latest := deadline.Add(-remaining)
	c := candidate{step: s, latestStart: latest}
	margin := time.Duration(0)
	if !j.started {
		margin = startMargin(j.spec, remaining)
	}
	switch {
	case sc.options.AdmissionTimeline && now.After(latest) && s.round.isOfNoUse(now):
		c.outlook = ofNoUse
	case j.spec.OverShare || now.After(latest):
		c.outlook = late
	case now.After(latest.Add(-margin)):
		c.outlook = atRisk
	}
	return c
}

// startMargin returns how much earlier than its latest start a job has to start, given the estimated time that remains then.
func startMargin(spec *JobSpec, remaining time.Duration) time.Duration {
	return time.Duration(estimateMargin*float64(remaining)) + time.Duration(len(spec.Steps))*stepMargin
}

// isOfNoUse reports whether the round can no longer be done while it is of use.
func (r *round) isOfNoUse(now time.Time) bool {
	_, usefulUntil := r.job.limits(r.number)
	return now.After(usefulUntil)
}

// remainingCriticalPath returns the estimated time of the longest chain of steps that are not done.
func (s *step) remainingCriticalPath() time.Duration {
	return s.job().criticalPath(func(n int) bool { return !s.round.steps[n].isDone() })
}

// rankOf returns the rank of the candidate's class: long-running steps first, then those on time, at risk, late and of no use, each
// by priority.
func rankOf(c candidate) int {
	const outlookRanks = 1000
	if c.step.spec.LongRunning {
		return 0
	}
	return 1 + int(c.outlook)*outlookRanks + c.step.job().spec.Priority
}

// compareCandidates orders by latest start; the ids only make the order deterministic.
func compareCandidates(a, b candidate) int {
	return cmp.Or(a.latestStart.Compare(b.latestStart), cmp.Compare(a.step.job().spec.ID, b.step.job().spec.ID), cmp.Compare(a.step.round.number, b.step.round.number), cmp.Compare(a.step.number, b.step.number))
}
