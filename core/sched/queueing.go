package sched

import (
	"cmp"
	"slices"
	"time"
)

// candidate is a step with tasks that wait for workers.
type candidate struct {
	step        *step
	outlook     deadlineOutlook
	latestStart time.Time // latest start that meets the objective
}

// outlook is whether a step's job can meet its objective.
type deadlineOutlook uint8

const (
	onTime deadlineOutlook = iota
	atRisk                 // only if its estimates are not too low
	late                   // surely not, or it is beyond its team's share
)

const (
	// A job that was not begun can meet its objective for sure only if this share of the estimates beyond them, and so
	// much for each step, is left: in a backlog those that wait longest would else be begun just too late, one by one.
	estimateMargin = 0.35
	stepMargin     = 120 * time.Millisecond
)

const (
	// A pool's waiting steps are gone through again no sooner than after so long for each, since it takes time;
	passIntervalPerStep = 15 * time.Microsecond
	// so few of them at any time.
	freePassSteps = 32
)

// place starts waiting tasks of a pool: lasting ones first, then by priority; within one, those that can still meet
// their objective, the teams by their shares.
func (sc *Scheduler) placeWaiting(now time.Time, p *pool) {
	if len(p.waitingSteps) == 0 || !p.dirty || !sc.window.hasSpace() || now.Sub(p.lastPass) < p.minPassInterval() {
		return
	}
	p.dirty, p.lastPass = false, now
	pass := sc.startPass(p, now)
	if len(pass.workers) == 0 {
		return
	}
	for _, class := range sc.candidateClasses(now, p) {
		sc.placeClass(now, p, class, pass)
	}
}

// pause returns how long after a pass over the pool's waiting steps the next one may come.
func (p *pool) minPassInterval() time.Duration {
	return time.Duration(max(0, len(p.waitingSteps)-freePassSteps)) * passIntervalPerStep
}

// candidates returns the waiting steps in classes; an earlier class goes first.
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

func (sc *Scheduler) candidateOf(now time.Time, s *step) candidate {
	j := s.job()
	if s.spec.LongRunning {
		return candidate{step: s, latestStart: s.readyAt}
	}
	by, _ := j.deadline()
	if j.spec.IsTimed() {
		by = j.spec.RoundDue(s.round.number).Add(j.criticalPath(allSteps) * 2)
	}
	left := s.remainingChain()
	latest := by.Add(-left)
	c := candidate{step: s, latestStart: latest}
	doubt := time.Duration(0)
	if !j.started {
		doubt = time.Duration(estimateMargin*float64(left)) + time.Duration(len(j.spec.Steps))*stepMargin
	}
	switch {
	case j.spec.OverShare || now.After(latest):
		c.outlook = late
	case now.After(latest.Add(-doubt)):
		c.outlook = atRisk
	}
	return c
}

// chainLeft returns the estimated time of the longest chain of steps that are not done.
func (s *step) remainingChain() time.Duration {
	return s.job().criticalPath(func(n int) bool { return !s.round.steps[n].isDone() })
}

// rankOf orders the classes: lasting steps, then work that can be in time by priority, then doubtful work, then late work.
func rankOf(c candidate) int {
	const outlookRanks = 1000
	if c.step.spec.LongRunning {
		return 0
	}
	return 1 + int(c.outlook)*outlookRanks + c.step.job().spec.Priority
}

// compareCandidates lets what was begun go first, then what must start earliest.
func compareCandidates(a, b candidate) int {
	return cmp.Or(a.latestStart.Compare(b.latestStart), cmp.Compare(a.step.job().spec.ID, b.step.job().spec.ID), cmp.Compare(a.step.round.number, b.step.round.number), cmp.Compare(a.step.number, b.step.number))
}
