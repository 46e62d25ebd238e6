package fleet

import (
	"fmt"

	"mangowing/core/fold"
	"mangowing/core/record"
)

// isWaveActive reports whether the wave is running and not in its freeze window.
func (p *plan) isWaveActive(wave string) bool {
	declared, ok := p.state.Config().Wave(wave)
	return ok && p.state.Wave(wave).State() == fold.WaveRunning && !declared.IsFrozenAt(p.timeOfDay())
}

func (p *plan) advanceWave(w waveIndex) {
	declared, _ := p.state.Config().Wave(w.name)
	switch {
	case len(w.failed) > declared.MaxFailures():
		p.addWaveStep(w.name, fold.WavePaused, fmt.Sprintf("%d VMs did not come back, last %s", len(w.failed), w.failed[len(w.failed)-1]))
	case !p.isWaveActive(w.name) || len(p.rows) == 0:
	case len(w.remaining) == 0 && len(w.inMaintenance) == 0:
		p.addWaveStep(w.name, fold.WaveDone, "every VM is maintained")
	default:
		p.startMaintenance(w, declared.MaxUnavailable()-len(w.inMaintenance))
	}
}

func (p *plan) addWaveStep(name, state, reason string) {
	p.addAction(WaveStep{record.NewWaveStep(name, p.state.Wave(name).Revision(), state, reason, p.Token)})
}

func (p *plan) startMaintenance(w waveIndex, limit int) {
	for _, name := range w.remaining {
		if limit <= 0 {
			return
		}
		if !p.canMaintain(w.name, name) {
			continue
		}
		p.inMaintenance = append(p.inMaintenance, maintenanceVM{w.name, p.state.VM(name).Pool(), p.rows[name].failureDomain()})
		p.startDrain(name, "", w.name)
		limit--
	}
}

// canMaintain reports whether the maintenance of a VM may start now. All VMs in maintenance for the same wave or from the
// same pool must be in one failure domain.
func (p *plan) canMaintain(wave, name string) bool {
	vm := p.state.VM(name)
	if p.planned[name] || vm.State() != fold.VMServing || !p.canDrain(name) || !p.hasHeadroom(vm.Pool()) {
		return false
	}
	for _, other := range p.inMaintenance {
		related := other.wave == wave || other.pool == vm.Pool()
		if related && other.domain != p.rows[name].failureDomain() {
			return false
		}
	}
	return true
}
