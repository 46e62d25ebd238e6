package replay

import (
	"slices"
	"time"

	"mangowing/core/decl"
)

const windowSamples = int(10 * time.Second / heartbeatPeriod)

// shareMeter compares the slots that teams have in a full pool with those that they are entitled to.
type shareMeter struct {
	slots     float64
	weights   []float64 // by team
	runsLong  []bool    // the team has patient work, which nobody can end
	waiting   []int     // requests, by team
	running   []int     // attempts, by team
	window    []difference
	errors    []float64 // of each 10 s of saturation, the worst team's, as a part of the pool
	lacked    []float64 // the same of teams without patient work, and only what they lacked
	idle      float64   // slot-seconds free while requests waited
	saturated float64   // slot-seconds of saturation
}

// difference is what each team had beyond its entitled slots in one sample, as a part of the pool.
type difference []float64

func newShareMeter(d deployment, slots int) shareMeter {
	m := shareMeter{slots: float64(slots), waiting: make([]int, len(d.teams)), running: make([]int, len(d.teams))}
	for _, t := range d.teams {
		m.weights = append(m.weights, float64(t.weight))
		m.runsLong = append(m.runsLong, slices.ContainsFunc(d.streams, func(s stream) bool {
			return s.team == t.name && s.class == decl.Patient
		}))
	}
	return m
}

func (m *shareMeter) merge(o shareMeter) {
	m.errors = append(m.errors, o.errors...)
	m.lacked = append(m.lacked, o.lacked...)
	m.idle += o.idle
	m.saturated += o.saturated
}

func sum(counts []int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// sample compares the slots that teams have with those that they are entitled to of all that are usable.
func (m *shareMeter) sample(slots float64) {
	m.slots = slots
	waiting, running := sum(m.waiting), sum(m.running)
	if waiting == 0 || float64(waiting+running) < m.slots {
		m.window = m.window[:0]
		return
	}
	m.saturated += m.slots * heartbeatPeriod.Seconds()
	m.idle += max(m.slots-float64(running), 0) * heartbeatPeriod.Seconds()
	m.window = append(m.window, m.compare())
	if len(m.window) > windowSamples {
		m.window = m.window[1:]
	}
	if len(m.window) == windowSamples {
		m.judgeWindow()
	}
}

func (m *shareMeter) compare() difference {
	entitled := m.entitled()
	out := make(difference, len(entitled))
	for i := range out {
		out[i] = (float64(m.running[i]) - entitled[i]) / m.slots
	}
	return out
}

// entitled fills the slots by weight, no team with more than it asks for.
func (m *shareMeter) entitled() []float64 {
	out := make([]float64, len(m.waiting))
	open := make([]int, 0, len(out))
	for i := range out {
		open = append(open, i)
	}
	left := m.slots
	for len(open) > 0 {
		weights := 0.0
		for _, i := range open {
			weights += m.weights[i]
		}
		level := left / weights
		kept := open[:0]
		satisfied := false
		for _, i := range open {
			asked := float64(m.waiting[i] + m.running[i])
			if asked <= level*m.weights[i] {
				out[i] = asked
				left -= asked
				satisfied = true
				continue
			}
			kept = append(kept, i)
		}
		open = kept
		if !satisfied {
			for _, i := range open {
				out[i] = level * m.weights[i]
			}
			return out
		}
	}
	return out
}

func (m *shareMeter) judgeWindow() {
	worst, lacked := 0.0, 0.0
	for i := range m.waiting {
		mean := 0.0
		for _, d := range m.window {
			mean += d[i] / float64(windowSamples)
		}
		worst = max(worst, mean, -mean)
		if !m.runsLong[i] {
			lacked = max(lacked, -mean)
		}
	}
	m.errors = append(m.errors, worst)
	m.lacked = append(m.lacked, lacked)
}
