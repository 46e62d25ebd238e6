package fold

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"mangowing/core/record"
)

// vmTransitions lists the states that may follow each state of a VM.
var vmTransitions = map[string][]string{
	VMServing:     {VMDraining, VMQuarantined, VMLeaving},
	VMDraining:    {VMMoving, VMRebooting, VMServing, VMQuarantined, VMLeaving},
	VMMoving:      {VMServing, VMQuarantined, VMLeaving},
	VMRebooting:   {VMServing, VMQuarantined, VMLeaving},
	VMQuarantined: {VMRebooting, VMServing, VMLeaving},
	VMLeaving:     {VMServing},
}

// vmStepProblem returns why the step is not allowed, empty if it is. Only the step that ends a move changes the pool.
func vmStepProblem(current VM, s record.VMStepSpec) string {
	if !slices.Contains(vmTransitions[current.State()], s.State) {
		return "VM " + s.VM + " is " + current.State()
	}
	if s.State == VMMoving && (s.Target == "" || s.Target != current.Target()) {
		return "VM " + s.VM + " was drained for another target"
	}
	endsMove := current.State() == VMMoving && s.State == VMServing
	if endsMove && s.Pool != current.Target() {
		return "the move of VM " + s.VM + " leads to pool " + current.Target()
	}
	if !endsMove && s.Pool != current.Pool() {
		return "VM " + s.VM + " belongs to pool " + current.Pool()
	}
	return ""
}

var waveTransitions = map[string][]string{
	WavePlanned:   {WaveRunning, WaveCancelled},
	WaveRunning:   {WavePaused, WaveCancelled, WaveDone},
	WavePaused:    {WaveRunning, WaveCancelled},
	WaveCancelled: {WaveRunning},
	WaveDone:      {WaveRunning},
}

func isWaveStepAllowed(from, to string) bool {
	return slices.Contains(waveTransitions[from], to)
}

// adjustSplit returns a split of the limit among the data centres in which no count was raised if another was lowered.
// A new limit below the number of data centres goes to one of them as a whole.
func adjustSplit(team string, old map[string]int, dataCentres []string, limit int) map[string]int {
	split := make(map[string]int, len(dataCentres))
	total := 0
	for _, dc := range dataCentres {
		split[dc] = old[dc]
		total += old[dc]
	}
	if len(dataCentres) == 0 {
		return split
	}
	order := rendezvousOrder(team, dataCentres)
	if total == 0 && limit < len(dataCentres) {
		split[order[0]] = limit
		return split
	}
	for total < limit {
		total += levelCounts(split, order, limit-total, 1)
	}
	for total > limit {
		total -= levelCounts(split, order, total-limit, -1)
	}
	return split
}

// levelCounts raises the lowest counts (direction 1) or lowers the highest ones (direction -1) by up to n in total, at most
// until they equal the next count, and returns the total. A rest that can't be divided goes to the first in order.
func levelCounts(split map[string]int, order []string, n, direction int) int {
	extreme, gap, members := split[order[0]], 0, []string(nil)
	for _, dc := range order {
		extreme = direction * min(direction*extreme, direction*split[dc])
	}
	for _, dc := range order {
		distance := direction * (split[dc] - extreme)
		switch {
		case distance == 0:
			members = append(members, dc)
		case gap == 0 || distance < gap:
			gap = distance
		}
	}
	each := n / len(members)
	if gap > 0 {
		each = min(each, gap)
	}
	if each == 0 {
		members = members[:n]
		each = 1
	}
	for _, dc := range members {
		split[dc] += direction * each
	}
	return each * len(members)
}

func rendezvousOrder(key string, names []string) []string {
	order := slices.Clone(names)
	slices.SortFunc(order, func(a, b string) int {
		x, y := xxhash.Sum64String(key+"\x00"+a), xxhash.Sum64String(key+"\x00"+b)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		default:
			return 0
		}
	})
	return order
}
