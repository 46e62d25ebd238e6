package fleet

import (
	"cmp"
	"slices"

	"mangowing/core/fold"
)

// Index is what a plan looks up, built once for each state and VM list.
type Index struct {
	state     *fold.State
	rows      map[string]VMRow
	unsettled []string
	serving   map[string]int
	incoming  map[string]int
	members   map[string][]string
	waves     []waveIndex
}

// waveIndex is one running wave: VMs still to be maintained, VMs out for it and VMs that failed to come back.
type waveIndex struct {
	name      string
	remaining []string
	pools     map[string]bool // pools with VMs still to be maintained
	out       []string
	faults    []string
}

// NewIndex returns the index of a state and the platform's VM list; neither may change afterwards.
func NewIndex(state *fold.State, rows []VMRow) *Index {
	x := &Index{state: state, rows: make(map[string]VMRow, len(rows))}
	x.serving, x.incoming, x.members = map[string]int{}, map[string]int{}, map[string][]string{}
	for _, row := range rows {
		x.rows[row.Name()] = row
	}
	names := x.names()
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

// place is a VM's name with its failure domain, for sorting.
type place struct {
	domain string
	name   string
}

// names returns every VM that is listed or had a step, failure domain by failure domain.
func (x *Index) names() []string {
	names := x.state.VMNames()
	stepped := len(names)
	for name := range x.rows {
		if _, found := slices.BinarySearch(names[:stepped], name); !found {
			names = append(names, name)
		}
	}
	places := make([]place, 0, len(names))
	for _, name := range names {
		places = append(places, place{x.rows[name].domain(), name})
	}
	slices.SortFunc(places, func(a, b place) int {
		return cmp.Or(cmp.Compare(a.domain, b.domain), cmp.Compare(a.name, b.name))
	})
	for i, p := range places {
		names[i] = p.name
	}
	return names
}

func (x *Index) classify(name string) {
	vm, row := x.state.VM(name), x.rows[name]
	if vm.State() != fold.VMServing || row.dropped() {
		x.unsettled = append(x.unsettled, name)
		if vm.Target() != "" {
			x.incoming[vm.Target()]++
		}
		return
	}
	if row.live() {
		x.serving[vm.Pool()]++
		x.members[vm.Pool()] = append(x.members[vm.Pool()], name)
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
			w.out = append(w.out, name)
		case vm.State() == fold.VMQuarantined || vm.State() == fold.VMLeaving:
			if vm.Wave() == wave && vm.Revision() > progress.Revision() {
				w.faults = append(w.faults, name)
			}
		case vm.Pool() != "" && declared.Covers(vm.Pool()) && vm.MaintainedRevision() <= progress.StartRevision() && x.rows[name].live():
			w.remaining = append(w.remaining, name)
			w.pools[vm.Pool()] = true
		}
	}
	return w
}

// State returns the state that the index was built from.
func (x *Index) State() *fold.State { return x.state }

// DrainingVMs returns the names of the VMs whose drain is under way.
func (x *Index) DrainingVMs() []string {
	var out []string
	for _, name := range x.unsettled {
		if x.state.VM(name).State() == fold.VMDraining {
			out = append(out, name)
		}
	}
	return out
}
