package fleet

import (
	"fmt"

	"mangowing/core/fold"
	"mangowing/core/record"
)

// mayStart tells whether the wave runs and is not frozen at this time of day.
func (p *plan) mayStart(wave string) bool {
	declared, ok := p.state.Config().Wave(wave)
	return ok && p.state.Wave(wave).State() == fold.WaveRunning && !declared.FrozenAt(p.timeOfDay())
}

func (p *plan) carryOnWave(w waveIndex) {
	declared, _ := p.state.Config().Wave(w.name)
	switch {
	case len(w.faults) > declared.AbortFaults():
		p.stepWave(w.name, fold.WavePaused, fmt.Sprintf("%d VMs did not come back, last %s", len(w.faults), w.faults[len(w.faults)-1]))
	case !p.mayStart(w.name) || len(p.rows) == 0:
	case len(w.remaining) == 0 && len(w.out) == 0:
		p.stepWave(w.name, fold.WaveDone, "every VM is maintained")
	default:
		p.startVMs(w, declared.Pace()-len(w.out))
	}
}

func (p *plan) stepWave(name, state, reason string) {
	p.act(WaveStep{record.NewWaveStep(name, p.state.Wave(name).Revision(), state, reason, p.Token)})
}

func (p *plan) startVMs(w waveIndex, room int) {
	for _, name := range w.remaining {
		if room <= 0 {
			return
		}
		if !p.mayMaintain(w.name, name) {
			continue
		}
		p.out = append(p.out, outVM{w.name, p.state.VM(name).Pool(), p.rows[name].domain()})
		p.drain(name, "", w.name)
		room--
	}
}

func (p *plan) mayMaintain(wave, name string) bool {
	vm := p.state.VM(name)
	if p.taken[name] || vm.State() != fold.VMServing || !p.mayDrain(name) || !p.mayTake(vm.Pool()) {
		return false
	}
	for _, o := range p.out {
		related := o.wave == wave || o.pool == vm.Pool()
		if related && o.domain != p.rows[name].domain() {
			return false
		}
	}
	return true
}
