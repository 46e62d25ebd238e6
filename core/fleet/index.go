package fleet

import (
	"cmp"
	"slices"

	"mangowing/core/fold"
)

// Index holds the lookup tables for planning, built once for each state and VM list.
type Index struct {
	state         *fold.State
	rows          map[string]VMRow
	notServing    []string
	servingCount  map[string]int
	incomingCount map[string]int
	servingVMs    map[string][]string
	waves         []waveIndex
}

// waveIndex describes one running wave: VMs still to be maintained, VMs in maintenance and VMs that failed during it.
type waveIndex struct {
	name          string
	remaining     []string
	pools         map[string]bool // pools with VMs still to be maintained
	inMaintenance []string
	failed        []string
}

// NewIndex returns the index of a state and the platform's VM list; the caller must not modify either afterwards.
func NewIndex(state *fold.State, rows []VMRow) *Index {
	x := &Index{state: state, rows: make(map[string]VMRow, len(rows))}
	x.servingCount, x.incomingCount, x.servingVMs = map[string]int{}, map[string]int{}, map[string][]string{}
	for _, row := range rows {
		x.rows[row.Name()] = row
	}
	names := x.sortedNames()
	for _, name := range names {
		x.classify(name)
	}
	for _, wave := range state.Config().Waves() {
		if state.Wave(wave).State() == fold.WaveRunning {
			x.waves = append(x.waves, x.indexWave(wave, names))
		}
	}
	return x
}

// vmDomain is a VM's name with its failure domain, for sorting.
type vmDomain struct {
	domain string
	name   string
}

// sortedNames returns every VM that is in the VM list or has a recorded step, sorted by failure domain, then name.
func (x *Index) sortedNames() []string {
	names := x.state.VMNames()
	stepped := len(names)
	for name := range x.rows {
		if _, found := slices.BinarySearch(names[:stepped], name); !found {
			names = append(names, name)
		}
	}
	domains := make([]vmDomain, 0, len(names))
	for _, name := range names {
		domains = append(domains, vmDomain{x.rows[name].failureDomain(), name})
	}
	slices.SortFunc(domains, func(a, b vmDomain) int {
		return cmp.Or(cmp.Compare(a.domain, b.domain), cmp.Compare(a.name, b.name))
	})
	for i, d := range domains {
		names[i] = d.name
	}
	return names
}

func (x *Index) classify(name string) {
	vm, row := x.state.VM(name), x.rows[name]
	if vm.State() != fold.VMServing || row.isLeavingOrGone() {
		x.notServing = append(x.notServing, name)
		if vm.Target() != "" {
			x.incomingCount[vm.Target()]++
		}
		return
	}
	if row.isLive() {
		x.servingCount[vm.Pool()]++
		x.servingVMs[vm.Pool()] = append(x.servingVMs[vm.Pool()], name)
	}
}

func (x *Index) indexWave(wave string, names []string) waveIndex {
	w := waveIndex{name: wave, pools: map[string]bool{}}
	declared, _ := x.state.Config().Wave(wave)
	progress := x.state.Wave(wave)
	for _, name := range names {
		vm := x.state.VM(name)
		switch {
		case vm.Wave() == wave && (vm.State() == fold.VMDraining || vm.State() == fold.VMRebooting):
			w.inMaintenance = append(w.inMaintenance, name)
		case vm.State() == fold.VMQuarantined || vm.State() == fold.VMLeaving:
			if vm.Wave() == wave && vm.Revision() > progress.Revision() {
				w.failed = append(w.failed, name)
			}
		case vm.Pool() != "" && declared.Covers(vm.Pool()) && vm.MaintainedRevision() <= progress.StartRevision() && x.rows[name].isLive():
			w.remaining = append(w.remaining, name)
			w.pools[vm.Pool()] = true
		}
	}
	return w
}

// State returns the state from which the index was built.
func (x *Index) State() *fold.State { return x.state }

// DrainingVMs returns the names of the VMs in state draining.
func (x *Index) DrainingVMs() []string {
	var out []string
	for _, name := range x.notServing {
		if x.state.VM(name).State() == fold.VMDraining {
			out = append(out, name)
		}
	}
	return out
}
