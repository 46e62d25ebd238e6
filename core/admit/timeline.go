package admit

import "time"

// Timeline is the capacity of a pool, or of a team's limit, from now on and what is promised of it. The zero value has no capacity.
type Timeline struct {
	share    float64               // of the cores that tasks can use, 0 for all
	change   [slotCount]float64    // by how many cores the capacity differs from that of the slot before
	promised [2][slotCount]float64 // core-seconds by class and by the slot in which they are due
	expected float64               // cores of work that is expected to arrive and to be accepted in time

	hasCores  bool
	isCurrent bool
	cores     [slotCount]float64 // usable cores in each slot
	supply    [slotCount]float64 // core-seconds that can be done by the end of each slot
	inTime    [slotCount]float64 // core-seconds that are promised in time by the end of each slot, and can be done by then
	all       [slotCount]float64 // core-seconds ahead of late work by the end of each slot
}

// Class says by when promised work must be done.
type Class uint8

// Classes of promised work.
const (
	InTime Class = iota // by the job's deadline
	Late                // while it is of use
)

// NewTimeline returns a timeline without cores, of which tasks can use the given share: the rest is lost to fragmentation.
func NewTimeline(usableShare float64) *Timeline { return &Timeline{share: usableShare} }

// AddCores adds cores that can be used from the given time on.
func (t *Timeline) AddCores(cores float64, from time.Duration) {
	t.hasCores = t.hasCores || cores > 0
	slot, passed := slotAt(from)
	t.change[slot] += cores * (1 - passed)
	if slot+1 < slotCount {
		t.change[slot+1] += cores * passed
	}
	t.isCurrent = false
}

// AddCapacity adds the capacity of another timeline.
func (t *Timeline) AddCapacity(other *Timeline) {
	for i := range slotCount {
		t.change[i] += other.change[i]
	}
	t.isCurrent = false
}

// Promise adds core-seconds that an accepted job still needs and that are due by the given time.
func (t *Timeline) Promise(c Class, coreSeconds float64, due time.Duration) {
	t.promised[c][slotDueBy(due)] += coreSeconds
	t.isCurrent = false
}

// Expect sets how many cores of work are expected to arrive, and to be accepted in time: late work has to wait for it.
func (t *Timeline) Expect(cores float64) {
	t.expected = cores
	t.isCurrent = false
}

// CoresAt returns how many cores tasks can use at the given time, running tasks not counted.
func (t *Timeline) CoresAt(d time.Duration) float64 {
	t.update()
	slot, _ := slotAt(d)
	return t.cores[slot]
}

// HasCores reports whether the timeline has any capacity, in use or not.
func (t *Timeline) HasCores() bool { return t.hasCores }

// Promised returns the core-seconds that accepted jobs of the class still need.
func (t *Timeline) Promised(c Class) float64 {
	sum := 0.0
	for _, work := range t.promised[c] {
		sum += work
	}
	return sum
}

// update computes what can be done by the end of each slot, and what is promised. Work in time that can't be done by its deadline is not
// carried on to the next slot: it goes behind all other work in time. Late work is counted as a whole at every time, since a job that
// comes later must not be done instead of it.
func (t *Timeline) update() {
	if t.isCurrent {
		return
	}
	t.isCurrent = true
	share := t.share
	if share == 0 {
		share = 1
	}
	cores, supply, inTime, all := 0.0, 0.0, 0.0, t.Promised(Late)
	for i := range slotCount {
		length := slotLength(i).Seconds()
		cores += t.change[i]
		t.cores[i] = max(0, cores*share)
		supply += t.cores[i] * length
		inTime = min(supply, inTime+t.promised[InTime][i])
		all += t.promised[InTime][i] + t.expected*length
		t.supply[i], t.inTime[i], t.all[i] = supply, inTime, all
	}
}
