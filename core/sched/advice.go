package sched

import (
	"time"

	"mangowing/core/setup"
)

const (
	// One request for advice names at most this many workers.
	maxAdviceWorkers = 24
	// The policy service is asked again for the same step this long after a call that failed.
	adviceRetryInterval = 500 * time.Millisecond
	// Tickets are not used in this time before they expire.
	ticketMargin = 500 * time.Millisecond
)

func (sc *Scheduler) queueOf(s *step) setup.Queue {
	q, _ := sc.cfg.Queue(s.job().spec.Queue)
	return q
}

// hasTicket reports whether there is a valid ticket that lets the worker's current incarnation run the step.
func (s *step) hasTicket(w *worker, now time.Time) bool {
	t, found := s.tickets[w.id]
	return found && t.incarnation == w.incarnation && now.Before(t.expiresAt)
}

// ensureTickets reports whether the step can be placed as far as tickets go: its queue requires none, or one of the workers
// has room and a ticket. It requests more while fewer workers have tickets than there are waiting tasks.
func (sc *Scheduler) ensureTickets(now time.Time, s *step, workers []*worker) bool {
	q := sc.queueOf(s)
	if !q.Advice.IsRequired() {
		return true
	}
	ticketed := 0
	for _, w := range workers {
		if s.hasTicket(w, now) && s.spec.Reservation().FitsWithin(w.free()) {
			ticketed++
		}
	}
	if ticketed < min(s.waitingTasks, len(workers)) && !s.advicePending && !now.Before(s.nextAdviceAt) {
		sc.requestTickets(now, s, workers)
	}
	return ticketed > 0
}

// isUnapproved reports whether the policy service has not let the worker's current incarnation run the step. That does not change.
func (s *step) isUnapproved(w *worker) bool {
	incarnation, found := s.unapproved[w.id]
	return found && incarnation == w.incarnation
}

// requestTickets asks the policy service for tickets for workers that have room and the right label, but no ticket. The workers that it
// has not approved are not asked about again, so that repeated requests go through all workers.
func (sc *Scheduler) requestTickets(now time.Time, s *step, workers []*worker) {
	var ids []string
	for _, w := range workers {
		if !s.hasTicket(w, now) && !s.isUnapproved(w) && w.hasLabel(s.spec.Label) && s.spec.Reservation().FitsWithin(w.free()) {
			ids = append(ids, w.id)
		}
		if len(ids) == maxAdviceWorkers {
			break
		}
	}
	if len(ids) == 0 {
		return
	}
	s.advicePending = true
	sc.orderImmediately(RequestAdvice{Step: s.id().StepName(), Workers: ids})
}

// applyAdviceResult stores the tickets that the policy service has granted for a step.
func (sc *Scheduler) applyAdviceResult(now time.Time, res AdviceResult) {
	id, ok := ParseTaskID(res.Order.Step + ".0")
	j, known := sc.jobs[id.Job]
	if !ok || !known {
		return
	}
	s := j.step(id)
	if s == nil {
		return
	}
	s.advicePending = false
	if res.Answer != AnswerOK {
		s.nextAdviceAt = now.Add(adviceRetryInterval)
		sc.logDecision(now, "advice-failed", res.Order.Step, "", res.Answer.String())
		return
	}
	if s.tickets == nil {
		s.tickets, s.unapproved = map[string]ticket{}, map[string]int64{}
	}
	for _, id := range res.Order.Workers {
		w, found := sc.workers[id]
		if !found {
			continue
		}
		text, approved := res.Tickets[id]
		if !approved {
			s.unapproved[id] = w.incarnation
			continue
		}
		s.tickets[id] = ticket{text, w.incarnation, res.SentAt.Add(res.Validity - ticketMargin)}
	}
	sc.markPoolDirty(sc.currentPool(j))
}
