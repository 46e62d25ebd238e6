package sched

import "time"

const (
	// Tasks are grouped by their remaining time, with the upper bound of each class twice that of the class before.
	durationClasses = 11
	firstClassEnd   = 250 * time.Millisecond
)

// workload sums up unfinished tasks by their remaining time. A task can't use more cores than it holds, however much work it is, so
// the work alone doesn't tell how many cores are needed.
type workload struct {
	classes [durationClasses]taskClass
	distant float64 // core-seconds of tasks that can't start before planningHorizon
}

// taskClass sums up tasks of about the same remaining time.
type taskClass struct {
	cores float64
	work  float64 // core-seconds
}

// planningHorizon is the time that machines ordered now spend on the way and on the work that is there.
const planningHorizon = provisioningDelay + backlogDrainTime

// add adds tasks that hold the given cores together, can start after the given wait, and then take the remaining time.
func (l *workload) add(cores float64, wait, remaining time.Duration) {
	work := cores * remaining.Seconds()
	if wait >= planningHorizon {
		l.distant += work
		return
	}
	class := 0
	for end := firstClassEnd; remaining > end && class < durationClasses-1; end *= 2 {
		class++
	}
	l.classes[class].cores += cores
	l.classes[class].work += work
}

// total returns the core-seconds of all tasks.
func (l *workload) total() float64 {
	sum := l.distant
	for _, c := range l.classes {
		sum += c.work
	}
	return sum
}

// within returns the core-seconds that the tasks can do within the given time if they all run.
func (l *workload) within(d time.Duration) float64 {
	sum := 0.0
	for _, c := range l.classes {
		sum += min(c.work, c.cores*d.Seconds())
	}
	if d > planningHorizon {
		sum += l.distant
	}
	return sum
}

// neededCores returns how many cores it takes to do the tasks within the given time. Tasks that last longer than planningHorizon need
// the cores that they hold, and no more.
func (l *workload) neededCores(d time.Duration) float64 {
	sum := l.lastingCores()
	for _, c := range l.classes {
		if !c.isLasting() {
			sum += c.work / d.Seconds()
		}
	}
	return sum
}

// lastingCores returns how many cores are held by tasks that last longer than planningHorizon.
func (l *workload) lastingCores() float64 {
	sum := 0.0
	for _, c := range l.classes {
		if c.isLasting() {
			sum += c.cores
		}
	}
	return sum
}

func (c taskClass) isLasting() bool { return c.work > c.cores*planningHorizon.Seconds() }
