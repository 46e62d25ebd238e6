package jobs

import (
	"cmp"
	"maps"
	"slices"
)

// distinctFailures is how many healthy workers a job has to fail on before it is set aside.
const distinctFailures = 3

// Plan returns the next actions; it returns the same ones until their effect shows in the view.
func Plan(v View) []Action {
	p := newPlan(v)
	for _, j := range v.Jobs {
		p.carryOn(j)
	}
	p.cancel()
	p.place()
	return p.actions
}

// plan collects the actions of one tick and takes slots at once.
type plan struct {
	View
	workers   map[string]Worker
	free      map[string]int
	sameTeam  map[placement]int
	waiting   []Job
	cancelled []string
	stopped   map[string][]string
	actions   []Action
}

// placement counts a team's jobs in a failure domain.
type placement struct {
	team   string
	domain string
}

func newPlan(v View) *plan {
	p := &plan{
		View: v, workers: map[string]Worker{}, free: map[string]int{},
		sameTeam: map[placement]int{}, stopped: map[string][]string{},
	}
	for _, w := range v.Workers {
		p.workers[w.spec.Name], p.free[w.spec.Name] = w, w.spec.Free
	}
	for _, j := range v.Jobs {
		if j.spec.Worker != "" {
			p.sameTeam[placement{j.spec.Team, p.workers[j.spec.Worker].spec.Domain}]++
		}
	}
	return p
}

func (p *plan) act(a Action) { p.actions = append(p.actions, a) }

func (p *plan) carryOn(j Job) {
	switch s := j.spec; {
	case s.State == Failed && len(s.FailedOn) >= distinctFailures:
		p.act(SetAside{s.ID})
	case s.Cancelled && p.surelyEnded(j):
		p.cancelled = append(p.cancelled, s.ID)
	case s.Cancelled:
		p.stopped[s.Worker] = append(p.stopped[s.Worker], s.ID)
	case s.State == Waiting:
		p.waiting = append(p.waiting, j)
	case p.surelyEnded(j):
		p.act(Requeue{s.ID})
	default:
		p.carryOnRunning(j)
	}
}

// surelyEnded tells whether the job runs nowhere: silence of its worker is no evidence before the lease lapsed.
func (p *plan) surelyEnded(j Job) bool {
	s := j.spec
	return s.State == Waiting || s.State == Failed || p.workers[s.Worker].spec.Fenced || p.NowMs >= s.LeaseEnds
}

// carryOnRunning saves a job before its worker is taken out, and then ends it there.
func (p *plan) carryOnRunning(j Job) {
	w := p.workers[j.spec.Worker]
	switch {
	case w.spec.Serving || !w.spec.Reachable:
	case j.spec.State == Checkpointed:
		p.stopped[j.spec.Worker] = append(p.stopped[j.spec.Worker], j.spec.ID)
	default:
		p.act(Checkpoint{j.spec.ID, j.spec.Worker})
	}
}

func (p *plan) cancel() {
	if len(p.cancelled) > 0 {
		slices.Sort(p.cancelled)
		p.act(Cancel{p.cancelled})
	}
	for _, worker := range slices.Sorted(maps.Keys(p.stopped)) {
		if p.workers[worker].spec.Reachable {
			p.act(Stop{worker, slices.Sorted(slices.Values(p.stopped[worker]))})
		}
	}
}

// place takes the largest jobs first, since the small ones fit in what is left.
func (p *plan) place() {
	slices.SortStableFunc(p.waiting, func(a, b Job) int { return cmp.Compare(b.spec.Size, a.spec.Size) })
	for _, j := range p.waiting {
		worker, found := p.bestWorker(j)
		if !found {
			continue
		}
		p.free[worker.spec.Name] -= j.spec.Size
		p.sameTeam[placement{j.spec.Team, worker.spec.Domain}]++
		p.act(Place{j.spec.ID, worker.spec.Name})
	}
}

// bestWorker spreads a team over failure domains, then fills workers up, so that large jobs find room.
func (p *plan) bestWorker(j Job) (best Worker, found bool) {
	for _, w := range p.Workers {
		fits := w.takesWork() && p.free[w.spec.Name] >= j.spec.Size && !slices.Contains(j.spec.FailedOn, w.spec.Name)
		if fits && (!found || p.compare(j, w, best) < 0) {
			best, found = w, true
		}
	}
	return best, found
}

func (p *plan) compare(j Job, a, b Worker) int {
	return cmp.Or(
		cmp.Compare(p.sameTeam[placement{j.spec.Team, a.spec.Domain}], p.sameTeam[placement{j.spec.Team, b.spec.Domain}]),
		cmp.Compare(p.free[a.spec.Name], p.free[b.spec.Name]),
		cmp.Compare(a.spec.Name, b.spec.Name),
	)
}
