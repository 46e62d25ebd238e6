package sched

import (
	"cmp"
	"slices"
	"time"

	"mangowing/core/setup"
)

// candidate is a step with tasks that wait for workers.
type candidate struct {
	step    *step
	outlook outlook
	by      time.Time // latest start that meets the objective
}

// outlook is whether a step's job can meet its objective.
type outlook uint8

const (
	inTime   outlook = iota
	doubtful         // only if its estimates are not too low
	late             // surely not, or it is beyond its team's share
)

const (
	// A job that was not begun can meet its objective for sure only if this share of the estimates beyond them, and so
	// much for each step, is left: in a backlog those that wait longest would else be begun just too late, one by one.
	estimateDoubt = 0.35
	stepDoubt     = 120 * time.Millisecond
)

const (
	// A pool in which tasks are left waiting is looked at so many times in this period, however many tasks end.
	backlogPeriod = 10 * time.Millisecond
	backlogLooks  = 3
)

// place starts waiting tasks of a pool: lasting ones first, then by priority; within one, those that can still meet
// their objective, the teams by their shares.
func (m *Machine) place(now time.Time, p *pool) {
	if len(p.waiting) == 0 || !p.dirty || !m.window.open() || p.looked(now) > backlogLooks {
		return
	}
	p.dirty = false
	if workers := m.usableIn(p, now); len(workers) > 0 {
		for _, class := range m.candidates(now, p) {
			m.placeClass(now, p, class, workers)
		}
	}
}

// looked counts a look at the pool's waiting tasks, and returns how many there were in this period.
func (p *pool) looked(now time.Time) int {
	if now.Sub(p.period) >= backlogPeriod {
		p.period, p.looks = now, 0
	}
	p.looks++
	return p.looks
}

// candidates returns the waiting steps in classes; an earlier class goes first.
func (m *Machine) candidates(now time.Time, p *pool) [][]candidate {
	byRank := map[int][]candidate{}
	for s := range p.waiting {
		c := m.candidateOf(now, s)
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

func (m *Machine) candidateOf(now time.Time, s *step) candidate {
	j := s.job()
	if s.spec.Lasting {
		return candidate{step: s, by: s.readyAt}
	}
	by, _ := j.objective()
	if j.spec.Timed() {
		by = j.spec.Due(s.round.number).Add(j.chain(everyStep) * 2)
	}
	left := s.chainLeft()
	latest := by.Add(-left)
	c := candidate{step: s, by: latest}
	doubt := time.Duration(0)
	if !j.begun {
		doubt = time.Duration(estimateDoubt*float64(left)) + time.Duration(len(j.spec.Steps))*stepDoubt
	}
	switch {
	case j.spec.Excess || now.After(latest):
		c.outlook = late
	case now.After(latest.Add(-doubt)):
		c.outlook = doubtful
	}
	return c
}

// chainLeft returns the estimated time of the longest chain of steps that are not done.
func (s *step) chainLeft() time.Duration {
	return s.job().chain(func(n int) bool { return !s.round.steps[n].done() })
}

// rankOf orders the classes: lasting steps, then work that can be in time by priority, then doubtful work, then late work.
func rankOf(c candidate) int {
	const outlookRanks = 1000
	if c.step.spec.Lasting {
		return 0
	}
	return 1 + int(c.outlook)*outlookRanks + c.step.job().spec.Priority
}

// compareCandidates lets what was begun go first, then what must start earliest.
func compareCandidates(a, b candidate) int {
	return cmp.Or(a.by.Compare(b.by), cmp.Compare(a.step.job().spec.ID, b.step.job().spec.ID), cmp.Compare(a.step.round.number, b.step.round.number), cmp.Compare(a.step.number, b.step.number))
}

// placeClass gives the teams turns: the one with the least running for its weight goes next.
func (m *Machine) placeClass(now time.Time, p *pool, class []candidate, workers []*worker) {
	byTeam := map[string][]candidate{}
	for _, c := range class {
		team := c.step.job().spec.Team
		byTeam[team] = append(byTeam[team], c)
	}
	for len(byTeam) > 0 {
		team := m.leastServed(p, byTeam)
		s := byTeam[team][0].step
		if byTeam[team] = byTeam[team][1:]; len(byTeam[team]) == 0 {
			delete(byTeam, team)
		}
		m.placeStep(now, s, workers)
	}
}

func (m *Machine) leastServed(p *pool, byTeam map[string][]candidate) string {
	best, bestLoad := "", 0.0
	first := true
	for name := range byTeam {
		weight := 1.0
		if t, declared := m.cfg.Team(name); declared && t.Weight > 0 {
			weight = t.Weight
		}
		load := p.running[name] / weight
		if first || load < bestLoad || load == bestLoad && name < best {
			best, bestLoad, first = name, load, false
		}
	}
	return best
}

// usableIn returns the pool's workers that have room for the smallest of its waiting tasks.
func (m *Machine) usableIn(p *pool, now time.Time) []*worker {
	least := p.leastNeeds()
	var workers []*worker
	for _, w := range m.byID {
		if w.entry.Pool == p.name && least.Fits(w.free()) && w.usable(now) {
			workers = append(workers, w)
		}
	}
	return workers
}

// leastNeeds returns the least of each resource that a waiting task of the pool takes.
func (p *pool) leastNeeds() setup.Resources {
	var least setup.Resources
	first := true
	for s := range p.waiting {
		needs := s.spec.Needs()
		if first {
			least, first = needs, false
			continue
		}
		least = setup.Resources{CPU: min(least.CPU, needs.CPU), MemMB: min(least.MemMB, needs.MemMB), GPU: min(least.GPU, needs.GPU)}
	}
	return least
}

// placeStep starts as many waiting tasks of the step as there is room for.
func (m *Machine) placeStep(now time.Time, s *step, workers []*worker) {
	if !m.hasTickets(now, s, workers) {
		return
	}
	if s.spec.Gang {
		m.placeGang(now, s, workers)
		return
	}
	for _, t := range s.tasks {
		if !t.waits() {
			continue
		}
		if !m.underLimit(s, 1) {
			return
		}
		if !m.window.open() {
			m.wake(m.poolNameOf(s.job()))
			return
		}
		w := m.pick(now, t, workers)
		if w == nil {
			if t.failures > 0 {
				continue
			}
			return
		}
		m.startOn(t, w, t.attempts+1)
	}
}

// placeGang starts the members of a gang only if there is room for all.
func (m *Machine) placeGang(now time.Time, s *step, workers []*worker) {
	if s.running > 0 || !m.underLimit(s, s.spec.Count) {
		return
	}
	attempt := 0
	for _, t := range s.tasks {
		attempt = max(attempt, t.attempts)
	}
	plan := make([]*worker, 0, len(s.tasks))
	for _, t := range s.tasks {
		w := m.pick(now, t, workers)
		if w == nil {
			break
		}
		plan = append(plan, w)
		w.used = w.used.Plus(s.spec.Needs())
		s.count(w.id, 1)
	}
	for _, w := range plan {
		w.used = w.used.Minus(s.spec.Needs())
		s.count(w.id, -1)
	}
	if len(plan) < len(s.tasks) {
		return
	}
	for i, t := range s.tasks {
		m.startOn(t, plan[i], attempt+1)
	}
}

func (s *step) count(workerID string, change int) {
	if s.perVM == nil {
		s.perVM = map[string]int{}
	}
	if s.perVM[workerID] += change; s.perVM[workerID] <= 0 {
		delete(s.perVM, workerID)
	}
}

// underLimit tells whether the step's team may have so many more tasks running.
func (m *Machine) underLimit(s *step, tasks int) bool {
	name := s.job().spec.Team
	t, declared := m.cfg.Team(name)
	if !declared {
		return true
	}
	used := m.teamOf(name).used
	uses := s.spec.Uses()
	for range tasks {
		used = used.Plus(uses)
	}
	return within(used.CPU, t.Limit.CPU) && within(used.MemMB, t.Limit.MemMB) && within(used.GPU, t.Limit.GPU)
}

func within(used, limit int) bool { return limit == 0 || used <= limit }

// pick returns the best worker for a task, nil if none has room.
func (m *Machine) pick(now time.Time, t *task, workers []*worker) *worker {
	var best *worker
	s := t.step
	needs := s.spec.Needs()
	for _, w := range workers {
		if !needs.Fits(w.free()) || !m.suits(now, t, w) {
			continue
		}
		if best == nil || m.better(t, w, best) {
			best = w
		}
	}
	return best
}

func (m *Machine) suits(now time.Time, t *task, w *worker) bool {
	s := t.step
	switch {
	case !w.hasLabel(s.spec.Label):
	case s.spec.MostPerWorker > 0 && s.perVM[w.id] >= s.spec.MostPerWorker:
	case w.suspect(now) && (t.failures > 0 || len(w.runs) > 0):
	case t.runsOn(w):
	case m.queueOf(s).Advice.Needed() && !s.hasTicket(w, now):
	default:
		return w.usable(now)
	}
	return false
}

// spread returns how many tasks of a lasting step should run on a worker at most, so that the loss of one is bearable.
func (s *step) spread() int {
	return max(1, (s.spec.Count+lastingWorkers-1)/lastingWorkers)
}

// lastingWorkers is over how many workers a lasting step is spread.
const lastingWorkers = 3

// better prefers a worker that the task has not failed on, then the data's rack, then a rack that the step runs on
// already, then sound workers, then the fullest.
func (m *Machine) better(t *task, a, b *worker) bool {
	s := t.step
	order := cmp.Or(
		compareBool(t.avoid != a.id, t.avoid != b.id),
		compareBool(s.nearData(a), s.nearData(b)),
		compareBool(s.sharesRack(a), s.sharesRack(b)),
		cmp.Compare(a.faults, b.faults),
		m.compareLoad(s, a, b),
	)
	return order < 0
}

// compareLoad fills workers up with ordinary work; tasks that fill go where the fewest serving tasks run.
func (m *Machine) compareLoad(s *step, a, b *worker) int {
	if s.spec.Fills || s.spec.Lasting {
		return cmp.Or(
			cmp.Compare(a.clash(s.spec), b.clash(s.spec)),
			compareBool(s.perVM[a.id] < s.spread(), s.perVM[b.id] < s.spread()),
			compareBool(a.lasting(), b.lasting()),
			cmp.Compare(b.free().CPU, a.free().CPU),
		)
	}
	return cmp.Compare(a.free().CPU, b.free().CPU)
}

// clash counts the runs that a new task of the step would disturb or be disturbed by.
func (w *worker) clash(spec *StepSpec) int {
	n := 0
	for _, r := range w.order {
		other := r.needs()
		if spec.Fills && other.Serves() || spec.Serves() && other.Fills {
			n += 2
		}
		if spec.Fills && other.Fills || spec.Serves() && other.Serves() {
			n++
		}
	}
	return n
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

func (s *step) nearData(w *worker) bool {
	return s.spec.Rack != "" && w.hasLabel(s.spec.Rack)
}

func (s *step) sharesRack(w *worker) bool {
	if !s.spec.RackLocal {
		return false
	}
	for _, t := range s.tasks {
		for _, r := range t.runs {
			if r.worker.entry.Rack() == w.entry.Rack() {
				return true
			}
		}
	}
	return false
}

// startOn records an attempt and orders it once the record is stored.
func (m *Machine) startOn(t *task, w *worker, attempt int) {
	id := t.id()
	m.start(t, w, attempt).underway = true
	m.window.given++
	w.granting++
	m.counters.started++
	m.emit(TaskStarted{Task: id, Attempt: attempt, Worker: w.id, Born: w.born})
	m.orderAfter(StartTask{
		Worker: w.id, Task: id, Attempt: attempt, Payload: t.job().spec.Payload, Checkpoint: t.checkpoint,
		Ticket: t.step.tickets[w.id].text, Lease: m.options.Lease,
	})
}
