package sched

import (
	"slices"
	"time"

	"mangowing/core/delay"
	"mangowing/core/setup"
)

// LocalityWaits counts tasks that waited for a placement near their data or their group although they could have started
// elsewhere.
type LocalityWaits struct {
	begun, gained, inVain uint64
	waited                time.Duration
}

// Begun returns how many tasks began to wait.
func (l LocalityWaits) Begun() uint64 { return l.begun }

// Gained returns how many tasks started on a good placement after a wait.
func (l LocalityWaits) Gained() uint64 { return l.gained }

// InVain returns how many tasks started elsewhere after a wait.
func (l LocalityWaits) InVain() uint64 { return l.inVain }

// Waited returns how long those tasks waited that have started, in total.
func (l LocalityWaits) Waited() time.Duration { return l.waited }

// LocalityWaits returns the counts since the scheduler was created.
func (sc *Scheduler) LocalityWaits() LocalityWaits { return sc.localityWaits }

// localityPass is what a placement pass knows of racks that tasks wait for. The zero value knows nothing.
type localityPass struct {
	outlooks   map[localityKey]*delay.Outlook
	ahead      map[string]int // tasks that wait, by rack
	crowd      float64        // see delay.Offer, valid if crowdKnown
	crowdKnown bool
}

// localityKey names the tasks that wait for the same places.
type localityKey struct {
	rack, label string
	needs       setup.Resources
	penalty     time.Duration
}

// waitsForLocality reports whether the task should wait for room on its rack rather than start on the worker, the best one that has
// room. Gangs don't wait, since their tasks start together; neither do tasks that run until they are cancelled or that have failed.
func (sc *Scheduler) waitsForLocality(now time.Time, t *task, w *worker, pass *placementPass) bool {
	s := t.step
	if sc.options.RemoteFactor <= 1 || s.spec.DataRack == "" && !s.spec.RackLocal || s.spec.Gang || s.spec.LongRunning || t.failures > 0 || t.isSuspect() {
		return false
	}
	rack := s.preferredRack()
	if rack == "" || w.hasLabel(rack) {
		sc.endLocalityWait(now, t, true)
		return false
	}
	if pass.locality.ahead == nil {
		pass.locality = localityPass{outlooks: map[localityKey]*delay.Outlook{}, ahead: map[string]int{}}
	}
	if (delay.Expected{}).Limit(sc.localityOffer(now, t, rack, pass)) <= 0 {
		sc.endLocalityWait(now, t, false)
		return false
	}
	if t.waitsSince.IsZero() {
		t.waitsSince = now
		sc.localityWaits.begun++
	}
	pass.locality.ahead[rack]++
	return true
}

// endLocalityWait counts the task's wait, if it has waited.
func (sc *Scheduler) endLocalityWait(now time.Time, t *task, gained bool) {
	if t.waitsSince.IsZero() {
		return
	}
	if gained {
		sc.localityWaits.gained++
	} else {
		sc.localityWaits.inVain++
	}
	sc.localityWaits.waited += now.Sub(t.waitsSince)
	t.waitsSince = time.Time{}
}

// preferredRack returns the rack of the step's data, or the one on which all running tasks of a rack-local step are. It is empty if
// there is none: no task of the step runs, or they are on several racks already.
func (s *step) preferredRack() string {
	if s.spec.DataRack != "" {
		return s.spec.DataRack
	}
	rack := ""
	for t := range s.tasks() {
		for _, r := range t.runs {
			if rack != "" && rack != r.worker.entry.Rack() {
				return ""
			}
			rack = r.worker.entry.Rack()
		}
	}
	return rack
}

// localityOffer returns the choice between starting the task now and waiting for its rack.
func (sc *Scheduler) localityOffer(now time.Time, t *task, rack string, pass *placementPass) delay.Offer {
	s := t.step
	o := delay.Offer{
		Near: s.spec.Estimate(), Factor: sc.options.RemoteFactor, Ahead: pass.locality.ahead[rack], Crowd: sc.crowdOf(s, pass),
		Deadline: sc.candidateOf(now, s).latestStart.Add(s.spec.Estimate()).Sub(now),
	}
	o.Useful = o.Deadline + (maxUsefulFactor-1)*s.job().timeLimit()
	o.FarLater = time.Duration(min(1, o.Crowd) * float64(o.Near))
	if !t.waitsSince.IsZero() {
		o.Waited = now.Sub(t.waitsSince)
	}
	key := localityKey{rack: rack, label: s.spec.Label, needs: s.spec.Reservation(), penalty: o.Penalty()}
	if pass.locality.outlooks[key] == nil {
		pass.locality.outlooks[key] = delay.NewOutlook(key.penalty, sc.localPlaces(now, pass.pool.name, key))
	}
	o.Outlook = pass.locality.outlooks[key]
	return o
}

// timeLimit returns the time that the job, or a round of a timed job, should take at most.
func (j *job) timeLimit() time.Duration {
	criticalPath := j.criticalPath(allSteps)
	if j.spec.IsTimed() {
		return 2 * criticalPath
	}
	return time.Duration(j.spec.Slack*float64(criticalPath)) + time.Duration(j.spec.TargetMs)*time.Millisecond
}

// crowdOf returns how many tasks wait without room for each place of the step's size in the pool.
func (sc *Scheduler) crowdOf(s *step, pass *placementPass) float64 {
	if pass.locality.crowdKnown {
		return pass.locality.crowd
	}
	waiting, places := 0, 0.0
	for other := range pass.pool.waitingSteps {
		waiting += other.waitingTasks
	}
	size := max(s.spec.Reservation().Cores(), minLimitCores)
	free := 0.0
	for _, w := range sc.workersByID {
		if w.entry.Pool == pass.pool.name && w.isHealthy() {
			places += w.entry.Capacity.Cores() / size
			free += w.free().Cores() / size
		}
	}
	pass.locality.crowdKnown = true
	pass.locality.crowd = max(0, float64(waiting)-free) / max(1, places)
	return pass.locality.crowd
}

// localPlaces returns the places on a rack that are not free yet but may be.
func (sc *Scheduler) localPlaces(now time.Time, pool string, key localityKey) []delay.Place {
	var places []delay.Place
	for _, w := range sc.workersByID {
		if w.entry.Pool == pool && w.listed && !w.entry.Draining && !w.cordoned && !w.surplus && !w.evacuated && w.hasLabel(key.rack) && w.hasLabel(key.label) &&
			key.needs.FitsWithin(w.entry.Capacity) {
			places = append(places, sc.placesOn(now, w, key.needs)...)
		}
	}
	for _, m := range sc.machinesByID {
		if m.targetPool == pool && m.hasOrderInFlight(now, sc.options) && slices.Contains(m.entry.Labels, key.rack) {
			places = append(places, delay.Arriving{In: max(0, m.orderedAt.Add(provisioningDelay).Sub(now))})
		}
	}
	return places
}

// placesOn returns the places that a worker may have. A worker that has room already isn't eligible for another reason, and a task whose
// end alone doesn't make room doesn't count.
func (sc *Scheduler) placesOn(now time.Time, w *worker, needs setup.Resources) []delay.Place {
	switch {
	case w.unanswered > 0:
		return []delay.Place{delay.Silent{For: now.Sub(w.silentSince)}}
	case !w.verified:
		return []delay.Place{delay.Silent{For: now.Sub(sc.ownedSince)}}
	case !w.isSchedulable(now):
		return []delay.Place{delay.Arriving{In: max(0, w.fullUntil.Sub(now), w.quarantinedUntil.Sub(now))}}
	case needs.FitsWithin(w.free()):
		return nil
	}
	var places []delay.Place
	for _, r := range w.runList {
		if r.spec().LongRunning || !needs.FitsWithin(w.free().Add(r.spec().Reservation())) {
			continue
		}
		held := delay.Held{Estimate: r.spec().Estimate()}
		if r.phase == runConfirmed {
			held.Elapsed = now.Sub(r.startedAt)
		}
		if r.spec().DataRack != "" && !w.hasLabel(r.spec().DataRack) {
			held.Estimate = time.Duration(sc.options.RemoteFactor * float64(held.Estimate))
		}
		places = append(places, held)
	}
	return places
}
