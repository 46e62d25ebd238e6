package replay

import (
	"slices"
	"time"

	"mangowing/core/decl"
)

// windowSamples is the number of samples in a window of 10 s.
const windowSamples = int(10 * time.Second / heartbeatPeriod)

// shareMeter compares the slots that teams hold in a saturated pool with the slots that their weights entitle them to.
type shareMeter struct {
	slots                float64
	weights              []float64 // by team
	hasPatientWork       []bool    // by team; patient work cannot be stopped once it runs
	waiting              []int     // waiting requests, by team
	running              []int     // running attempts, by team
	window               []shareDeviation
	shareErrors          []float64 // for each window of saturation, the largest deviation of a team, as a fraction of the pool
	shortfalls           []float64 // likewise the largest shortfall among teams without patient work
	idleSlotSeconds      float64   // free slots while the pool was saturated
	saturatedSlotSeconds float64   // all slots while the pool was saturated
}

// shareDeviation holds each team's slots minus its entitled slots in one sample, as a fraction of the pool.
type shareDeviation []float64

func newShareMeter(d deployment, slots int) shareMeter {
	m := shareMeter{slots: float64(slots), waiting: make([]int, len(d.teams)), running: make([]int, len(d.teams))}
	for _, t := range d.teams {
		m.weights = append(m.weights, float64(t.weight))
		m.hasPatientWork = append(m.hasPatientWork, slices.ContainsFunc(d.streams, func(s stream) bool {
			return s.team == t.name && s.class == decl.Patient
		}))
	}
	return m
}

func (m *shareMeter) merge(o shareMeter) {
	m.shareErrors = append(m.shareErrors, o.shareErrors...)
	m.shortfalls = append(m.shortfalls, o.shortfalls...)
	m.idleSlotSeconds += o.idleSlotSeconds
	m.saturatedSlotSeconds += o.saturatedSlotSeconds
}

func sum(counts []int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// sample records the teams' deviations if the pool, of which the given number of slots are usable, is saturated. Otherwise
// it starts a new window.
func (m *shareMeter) sample(slots float64) {
	m.slots = slots
	waiting, running := sum(m.waiting), sum(m.running)
	if waiting == 0 || float64(waiting+running) < m.slots {
		m.window = m.window[:0]
		return
	}
	m.saturatedSlotSeconds += m.slots * heartbeatPeriod.Seconds()
	m.idleSlotSeconds += max(m.slots-float64(running), 0) * heartbeatPeriod.Seconds()
	m.window = append(m.window, m.deviations())
	if len(m.window) > windowSamples {
		m.window = m.window[1:]
	}
	if len(m.window) == windowSamples {
		m.recordWindow()
	}
}

func (m *shareMeter) deviations() shareDeviation {
	entitled := m.entitledSlots()
	out := make(shareDeviation, len(entitled))
	for i := range out {
		out[i] = (float64(m.running[i]) - entitled[i]) / m.slots
	}
	return out
}

// entitledSlots returns each team's weighted max-min fair share of the slots: slots are divided by weight, and no team gets
// more than it has requests for.
func (m *shareMeter) entitledSlots() []float64 {
	out := make([]float64, len(m.waiting))
	unsatisfied := make([]int, 0, len(out))
	for i := range out {
		unsatisfied = append(unsatisfied, i)
	}
	remaining := m.slots
	for len(unsatisfied) > 0 {
		weights := 0.0
		for _, i := range unsatisfied {
			weights += m.weights[i]
		}
		perWeight := remaining / weights
		kept := unsatisfied[:0]
		anySatisfied := false
		for _, i := range unsatisfied {
			wanted := float64(m.waiting[i] + m.running[i])
			if wanted <= perWeight*m.weights[i] {
				out[i] = wanted
				remaining -= wanted
				anySatisfied = true
				continue
			}
			kept = append(kept, i)
		}
		unsatisfied = kept
		if !anySatisfied {
			for _, i := range unsatisfied {
				out[i] = perWeight * m.weights[i]
			}
			return out
		}
	}
	return out
}

func (m *shareMeter) recordWindow() {
	worst, shortfall := 0.0, 0.0
	for i := range m.waiting {
		mean := 0.0
		for _, d := range m.window {
			mean += d[i] / float64(windowSamples)
		}
		worst = max(worst, mean, -mean)
		if !m.hasPatientWork[i] {
			shortfall = max(shortfall, -mean)
		}
	}
	m.shareErrors = append(m.shareErrors, worst)
	m.shortfalls = append(m.shortfalls, shortfall)
}
