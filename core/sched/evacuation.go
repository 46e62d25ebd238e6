package sched

import (
	"slices"
	"time"

	"mangowing/core/evac"
)

// evacuatedRetryAfter is when clients may retry while all data centres of a pool are evacuated. Evacuations last for minutes, and retries in
// between are in vain.
const evacuatedRetryAfter = 5 * time.Second

// evacuations is the state of the evacuations of data centres.
type evacuations struct {
	evac.Set
	watched  map[string]bool // data centres with workers for which evacuation-empty is not logged yet
	holdsFor bool            // workers may be held for long-running tasks that move away
	events   []EvacuationEvent
}

// EvacuationEvent is a log line about an evacuation.
type EvacuationEvent struct {
	Event      string // evacuation-begins, evacuation-ends or evacuation-empty
	DataCentre string
	Since      time.Time // when the evacuation became known
	Workers    int       // workers that are known there
	Tasks      int       // attempts that still run there
}

// EvacuationLoad is what still runs in an evacuated data centre.
type EvacuationLoad struct {
	DataCentre string
	Workers    int // workers that are known there
	Tasks      int // attempts that still run there
}

// SetEvacuations replaces the set of evacuated data centres by the one that the operators' topic holds up to the offset. A set that was read
// less far than the one in force is ignored, and so are all sets if Options.EvacuationBound is 0.
func (sc *Scheduler) SetEvacuations(now time.Time, dataCentres []string, offset int64) {
	if sc.options.EvacuationBound == 0 {
		return
	}
	changes := sc.evacuations.Replace(now, dataCentres, offset)
	if len(changes) == 0 {
		return
	}
	loads := sc.evacuationLoads()
	for _, c := range changes {
		sc.appendRecord(newEvacuationChanged(c, offset))
		event := EvacuationEvent{Event: "evacuation-begins", DataCentre: c.DataCentre, Since: c.Since, Workers: loads[c.DataCentre].Workers, Tasks: loads[c.DataCentre].Tasks}
		if c.Ended {
			event.Event = "evacuation-ends"
			delete(sc.evacuations.watched, c.DataCentre)
		}
		sc.evacuations.events = append(sc.evacuations.events, event)
	}
	for _, w := range sc.workersByID {
		sc.updateEvacuated(now, w)
	}
	sc.markAllPoolsDirty()
	// Demand and admission depend on the set.
	sc.lastMachinePlan, sc.lastPeriodicCheck, sc.fullPassDue = time.Time{}, time.Time{}, true
}

// newEvacuationChanged returns the record of a change that was read up to the offset.
func newEvacuationChanged(c evac.Change, offset int64) EvacuationChanged {
	r := EvacuationChanged{DataCentre: c.DataCentre, Offset: offset}
	if !c.Ended {
		r.SinceMs = c.Since.UnixMilli()
	}
	return r
}

func (sc *Scheduler) applyEvacuationChanged(r EvacuationChanged) {
	sc.evacuations.Restore(evac.Change{DataCentre: r.DataCentre, Since: time.UnixMilli(r.SinceMs), Ended: r.SinceMs == 0}, r.Offset)
}

// snapshotEvacuations returns the records that restore the evacuations. The offset is saved also if there are none.
func (sc *Scheduler) snapshotEvacuations() []Record {
	offset := sc.evacuations.Offset()
	if offset == 0 && sc.evacuations.IsEmpty() {
		return nil
	}
	records := []Record{EvacuationChanged{Offset: offset}}
	for _, name := range sc.evacuations.Names() {
		records = append(records, newEvacuationChanged(evac.Change{DataCentre: name, Since: sc.evacuations.Since(name)}, offset))
	}
	return records
}

// dropDisabledEvacuations forgets what the journal holds of evacuations if they aren't acted on.
func (sc *Scheduler) dropDisabledEvacuations() {
	if sc.options.EvacuationBound == 0 {
		sc.evacuations = evacuations{}
	}
}

// updateEvacuated updates whether the worker's data centre is evacuated. Starts there whose outcome is unknown are stopped then, since they
// may still arrive.
func (sc *Scheduler) updateEvacuated(now time.Time, w *worker) {
	before := w.evacuated
	w.evacuated = sc.evacuations.Contains(w.entry.DataCentre)
	if !w.evacuated || before {
		return
	}
	if sc.evacuations.watched == nil {
		sc.evacuations.watched = map[string]bool{}
	}
	sc.evacuations.watched[w.entry.DataCentre] = true
	for _, r := range w.runList {
		if r.phase == runUnknown && !r.stopping {
			sc.stopRun(now, r)
		}
	}
}

// isMachineEvacuated reports whether the machine, whose worker may be nil, is in an evacuated data centre.
func (sc *Scheduler) isMachineEvacuated(m *machine, w *worker) bool {
	return w != nil && w.evacuated || sc.evacuations.Contains(m.entry.DataCentre)
}

// CanStillMove reports whether a move may still be ordered after the wait for its turn: not if its machine is evacuated by now.
func (sc *Scheduler) CanStillMove(o MoveMachine) bool {
	m, found := sc.machines[o.Machine]
	if !found {
		return true
	}
	return !sc.isMachineEvacuated(m, nil) && !slices.ContainsFunc(sc.workersByID, func(w *worker) bool {
		return w.evacuated && w.entry.Machine == o.Machine
	})
}

// refuseEvacuated reports whether a new job must be refused because all data centres of its pool are evacuated, and no machine can come from
// elsewhere. Jobs that wait for an hour or a date are accepted.
func (sc *Scheduler) refuseEvacuated(spec *JobSpec) (Refusal, bool) {
	if sc.evacuations.IsEmpty() || spec.IsLongRunning() || spec.IsTimed() || !sc.isPoolEvacuated(spec.Pool) {
		return Refusal{}, false
	}
	return Refusal{cause: poolEvacuated, retryAfter: evacuatedRetryAfter + retryJitter(spec.ID)}, true
}

// isPoolEvacuated reports whether the pool has machines, all of them in evacuated data centres, and can get no others.
func (sc *Scheduler) isPoolEvacuated(pool string) bool {
	if d := sc.demand[pool]; d != nil {
		return d.evacuated > 0 && d.outside == 0 && d.reachableCores <= 0
	}
	evacuated := false
	for _, w := range sc.workersByID {
		if w.entry.Pool != pool || !w.listed {
			continue
		}
		if !w.evacuated {
			return false
		}
		evacuated = true
	}
	return evacuated
}

// skipEvacuated counts a machine of the pool, and reports whether it is evacuated. Its size counts all the same, so that a pool without other
// machines can tell how many it needs.
func (sc *Scheduler) skipEvacuated(d *poolDemand, isEvacuated bool, cores float64) bool {
	if !isEvacuated {
		d.outside++
		return false
	}
	d.evacuated++
	d.coresPerMachine = max(d.coresPerMachine, cores)
	return true
}

// evacuationLoads returns what runs in each data centre.
func (sc *Scheduler) evacuationLoads() map[string]EvacuationLoad {
	loads := map[string]EvacuationLoad{}
	for _, w := range sc.workersByID {
		l := loads[w.entry.DataCentre]
		l.DataCentre = w.entry.DataCentre
		l.Workers++
		l.Tasks += len(w.runs)
		loads[w.entry.DataCentre] = l
	}
	return loads
}

// EvacuationLoads returns what still runs in each evacuated data centre, in order of name.
func (sc *Scheduler) EvacuationLoads() []EvacuationLoad {
	if sc.evacuations.IsEmpty() {
		return nil
	}
	all := sc.evacuationLoads()
	loads := make([]EvacuationLoad, 0, len(sc.evacuations.Names()))
	for _, name := range sc.evacuations.Names() {
		l := all[name]
		l.DataCentre = name
		loads = append(loads, l)
	}
	return loads
}

// TakeEvacuationEvents returns and clears the events since the last call.
func (sc *Scheduler) TakeEvacuationEvents() []EvacuationEvent {
	events := sc.evacuations.events
	sc.evacuations.events = nil
	return events
}

// reportEmptied reports the evacuated data centres in which nothing runs any more, once each. Attempts that were replayed for a worker that has
// not been listed yet may be anywhere.
func (sc *Scheduler) reportEmptied(now time.Time) {
	if len(sc.evacuations.watched) == 0 || now.Sub(sc.firstWorkerList) < takeoverGracePeriod {
		return
	}
	loads := sc.evacuationLoads()
	if loads[""].Tasks > 0 {
		return
	}
	for _, name := range sc.evacuations.Names() {
		if sc.evacuations.watched[name] && loads[name].Tasks == 0 {
			delete(sc.evacuations.watched, name)
			sc.evacuations.events = append(sc.evacuations.events, EvacuationEvent{
				Event: "evacuation-empty", DataCentre: name, Since: sc.evacuations.Since(name), Workers: loads[name].Workers,
			})
		}
	}
}
