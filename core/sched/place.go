package sched

import (
	"cmp"
	"slices"
	"time"
)

// candidate is a step with tasks that wait for workers.
type candidate struct {
	step *step
	late bool      // it can't meet its objective any more, or is beyond its team's share
	by   time.Time // latest start that meets the objective
}

// place starts waiting tasks of a pool: lasting ones first, then by priority; within one, those that can still meet
// their objective, the teams by their shares.
func (m *Machine) place(now time.Time, p *pool) {
	if len(p.waiting) == 0 || !p.dirty {
		return
	}
	p.dirty = false
	workers := m.usableIn(p.name, now)
	if len(workers) == 0 {
		return
	}
	classes := m.candidates(now, p)
	for _, class := range classes {
		m.placeClass(now, p, class, workers)
	}
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
	latest := by.Add(-s.chainLeft())
	return candidate{step: s, late: now.After(latest) || j.spec.Excess, by: latest}
}

// chainLeft returns the estimated time of the longest chain of steps that are not done.
func (s *step) chainLeft() time.Duration {
	return s.job().chain(func(n int) bool { return !s.round.steps[n].done() })
}

// rankOf orders the classes: lasting steps, then work that can be in time by priority, then late work by priority.
func rankOf(c candidate) int {
	const lateRank = 1000
	switch {
	case c.step.spec.Lasting:
		return 0
	case c.late:
		return lateRank + c.step.job().spec.Priority
	default:
		return 1 + c.step.job().spec.Priority
	}
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

func (m *Machine) usableIn(pool string, now time.Time) []*worker {
	var workers []*worker
	for _, w := range m.byID {
		if w.entry.Pool == pool && w.usable(now) {
			workers = append(workers, w)
		}
	}
	return workers
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
	m.start(t, w, attempt)
	w.granting++
	m.counters.started++
	m.emit(TaskStarted{Task: id, Attempt: attempt, Worker: w.id, Born: w.born})
	m.orderAfter(StartTask{
		Worker: w.id, Task: id, Attempt: attempt, Payload: t.job().spec.Payload, Checkpoint: t.checkpoint,
		Ticket: t.step.tickets[w.id].text, Lease: m.options.Lease,
	})
}
