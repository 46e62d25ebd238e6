package sched

import (
	"time"
)

// machine is a machine of the fleet; its workers are lives of it.
type machine struct {
	entry   MachineEntry
	ordered time.Time // when it was last told to move or to go down
}

// wave is a maintenance wave with what is left of it.
type wave struct {
	spec    Wave
	done    map[string]bool
	started map[string]time.Time
	told    bool
}

// ListMachines notes the machines that the platform lists.
func (m *Machine) ListMachines(_ time.Time, entries []MachineEntry) {
	seen := map[string]bool{}
	for _, e := range entries {
		seen[e.ID] = true
		if known, found := m.machines[e.ID]; found {
			known.entry = e
			continue
		}
		m.machines[e.ID] = &machine{entry: e}
	}
	for id := range m.machines {
		if !seen[id] {
			delete(m.machines, id)
		}
	}
}

// AddWave notes a wave that the operators ask for.
func (m *Machine) AddWave(now time.Time, spec Wave) {
	if _, known := m.waves[spec.Number]; known {
		return
	}
	spec.Seen = now
	m.waves[spec.Number] = &wave{spec: spec, done: map[string]bool{}, started: map[string]time.Time{}}
}

func (m *Machine) planMachines(time.Time) {}

func (m *Machine) applyMove(_ time.Time, rep MoveReport) {
	if rep.Answer == Fenced {
		m.fenced = true
	}
}

func (m *Machine) applyService(_ time.Time, rep ServiceReport) {
	if rep.Answer == Fenced {
		m.fenced = true
	}
}

// movePlan forecasts each pool's demand.
type movePlan struct{}

func (movePlan) arrived(time.Time, *job) {}
