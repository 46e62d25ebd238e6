package sched

import (
	"cmp"
	"slices"
	"time"
)

// Load is what a pool has to do and has to do it with.
type Load struct {
	pool     string
	machines int
	needed   int
	usable   int
	waiting  int
	running  int
	idle     float64
	rate     float64
}

// Pool returns the pool's name.
func (l Load) Pool() string { return l.pool }

// Machines returns how many machines are in the pool or on their way there.
func (l Load) Machines() int { return l.machines }

// Needed returns how many machines the pool's work needs.
func (l Load) Needed() int { return l.needed }

// Usable returns how many workers take new tasks.
func (l Load) Usable() int { return l.usable }

// Waiting returns how many tasks could run and don't.
func (l Load) Waiting() int { return l.waiting }

// Running returns how many attempts are on workers.
func (l Load) Running() int { return l.running }

// IdleCores returns how many cores of usable workers are free.
func (l Load) IdleCores() float64 { return l.idle }

// Rate returns how many core-seconds of work arrive in a second.
func (l Load) Rate() float64 { return l.rate }

// OpenJobs returns how many jobs are neither cancelled nor ended.
func (sc *Scheduler) OpenJobs() int { return len(sc.openJobs) }

// Loads returns the load of every declared pool in order of name.
func (sc *Scheduler) Loads(now time.Time) []Load {
	byName := map[string]*Load{}
	for _, name := range sc.cfg.Pools() {
		byName[name] = &Load{pool: name, rate: sc.turns.trend(name).rate(now)}
	}
	for _, w := range sc.workersByID {
		l, found := byName[w.entry.Pool]
		if !found {
			continue
		}
		l.running += len(w.runs)
		if w.usable(now) {
			l.usable++
			l.idle += w.free().Cores()
		}
	}
	for _, p := range sc.poolOrder {
		if l, found := byName[p.name]; found {
			for s := range p.waitingSteps {
				l.waiting += s.waiting
			}
		}
	}
	for name, d := range sc.demand {
		if l, found := byName[name]; found {
			l.machines, l.needed = d.machines, d.need
		}
	}
	loads := make([]Load, 0, len(byName))
	for _, l := range byName {
		loads = append(loads, *l)
	}
	slices.SortFunc(loads, func(a, b Load) int { return cmp.Compare(a.pool, b.pool) })
	return loads
}
