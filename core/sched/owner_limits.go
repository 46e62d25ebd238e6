package sched

import "time"

// Estimates of the memory that the state of jobs takes, in bytes and leaving aside texts.
const (
	jobBytes      = 512
	stepSpecBytes = 256
	indexBytes    = 8
	roundBytes    = 128
	stepBytes     = 320 // its entry among the waiting steps of its pool included
	taskBytes     = 216
	runBytes      = 448 // its entries at its worker included
)

// Clients that are refused for the limits of the owner should come back after this time, in which other jobs end.
const ownerLimitRetryAfter = 5 * time.Second

// memoryMeter sums up the estimated memory of jobs. The zero value counts for itself alone.
type memoryMeter struct {
	bytes int
	total *memoryMeter // counts the same bytes as a part of its own, nil for none
}

func (m *memoryMeter) add(bytes int) {
	m.bytes += bytes
	if m.total != nil {
		m.total.add(bytes)
	}
}

// memory estimates the memory of a job that has not begun.
func (s *JobSpec) memory() int {
	bytes := jobBytes + len(s.ID) + len(s.Queue) + len(s.Pool) + len(s.Team) + len(s.Payload)
	for i := range s.Steps {
		step := &s.Steps[i]
		bytes += stepSpecBytes + indexBytes*len(step.DependsOn) + len(step.Label) + len(step.DataRack) + len(step.Image)
	}
	return bytes
}

// roundMemory estimates the memory of an open round without its tasks.
func (s *JobSpec) roundMemory() int { return roundBytes + len(s.Steps)*stepBytes }

// JobMemory returns the estimated memory of all jobs in bytes.
func (sc *Scheduler) JobMemory() int { return sc.jobMemory.bytes }

// lacksMemory reports whether the jobs take as much memory as they may.
func (sc *Scheduler) lacksMemory() bool {
	return sc.options.MaxJobMemory > 0 && sc.jobMemory.bytes >= sc.options.MaxJobMemory
}

// fitsRunMemory reports whether that many more tasks of a team may run. Tasks that need no room would fit on a worker in any number. The attempts
// of all teams take at most as much memory as all jobs may, and those of a team no more than is left then.
func (sc *Scheduler) fitsRunMemory(teamName string, tasks int) bool {
	if sc.options.MaxJobMemory <= 0 {
		return true
	}
	left := sc.options.MaxJobMemory/(taskBytes+runBytes) - sc.runCount - tasks
	return sc.ensureTeam(teamName).runCount+tasks <= left
}

// checkOwnerLimits refuses a job if its team would have more open jobs, or take more memory, than is left for all teams then. So one team takes
// about half of what there is at most, and there is always some left for a team that has taken little.
func (sc *Scheduler) checkOwnerLimits(spec *JobSpec) (Refusal, bool) {
	t := sc.ensureTeam(spec.Team)
	r := Refusal{retryAfter: ownerLimitRetryAfter + retryJitter(spec.ID)}
	if left := sc.options.MaxOpenJobs - len(sc.openJobs) - 1; t.openJobs+1 > left {
		r.cause = tooManyJobs
		return r, true
	}
	if sc.options.MaxJobMemory <= 0 {
		return Refusal{}, false
	}
	needed := spec.memory() + spec.roundMemory()
	if left := sc.options.MaxJobMemory - sc.jobMemory.bytes - needed; t.memory.bytes+needed > left {
		r.cause = memoryUsedUp
		return r, true
	}
	return Refusal{}, false
}
