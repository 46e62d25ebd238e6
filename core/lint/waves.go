package lint

import "time"

// CheckWaves checks the waves against the fleet, as far as it is known.
func CheckWaves(r *Report, known Context) {
	pools := make(map[string]string, len(known.Machines))
	sizes := map[string]int{}
	for i := range known.Machines {
		pools[known.Machines[i].Name] = known.Machines[i].Pool
		sizes[known.Machines[i].Pool]++
	}
	numbers := map[int64]bool{}
	for i := range known.Waves {
		w := &known.Waves[i]
		if numbers[w.Number] {
			r.Add(Error, "wave-duplicate", w.Places.Of(FieldNumber), "wave %d is declared already; only the first one is carried out", w.Number)
		}
		numbers[w.Number] = true
		listed := w.checkMachines(r, pools)
		w.checkEnd(r, listed, known.Maintenance)
		w.checkPoolsLeft(r, pools, sizes)
	}
}

// checkMachines reports machines that are named twice or aren't in the fleet, and returns how many need maintenance.
func (w *Wave) checkMachines(r *Report, pools map[string]string) int {
	at := w.Places.Of(FieldMachines)
	seen := make(map[string]bool, len(w.Machines))
	listed := 0
	for _, name := range w.Machines {
		_, isKnown := pools[name]
		switch {
		case seen[name]:
			r.Add(Warning, "wave-machine-repeated", at, "wave %d names machine %s twice", w.Number, quote(name))
			continue
		case len(pools) > 0 && !isKnown:
			r.Add(Warning, "wave-machine-unknown", at, "wave %d names machine %s, which the fleet doesn't have", w.Number, quote(name))
		default:
			listed++
		}
		seen[name] = true
	}
	if listed == 0 {
		r.Add(Warning, "wave-empty", at, "wave %d has no machine to maintain", w.Number)
	}
	return listed
}

// checkEnd reports a wave that can't end, or not within its duration.
func (w *Wave) checkEnd(r *Report, machines int, maintenance time.Duration) {
	switch {
	case w.Number < 1:
		r.Add(Error, "wave-number-invalid", w.Places.Of(FieldNumber), "wave %d: expected a number of at least 1", w.Number)
	case w.MaxDown < 1:
		r.Add(Error, "wave-cannot-end", w.Places.Of(FieldMaxDown), "wave %d may take %d machines down at once, so it never ends", w.Number, w.MaxDown)
	case w.Duration <= 0:
		r.Add(Error, "wave-cannot-end", w.Places.Of(FieldDuration), "wave %d has no time", w.Number)
	case maintenance > 0:
		rounds := (machines + w.MaxDown - 1) / w.MaxDown
		if float64(rounds)*maintenance.Seconds() > w.Duration.Seconds() {
			r.Add(Error, "wave-cannot-end", w.Places.Of(FieldDuration), "wave %d: machines %d, at a time %d, %v each; that doesn't fit into %v",
				w.Number, machines, w.MaxDown, maintenance, w.Duration)
		}
	}
}

// checkPoolsLeft reports a wave that may take a whole pool down at once.
func (w *Wave) checkPoolsLeft(r *Report, pools map[string]string, sizes map[string]int) {
	inWave, seen := map[string]int{}, map[string]bool{}
	for _, name := range w.Machines {
		pool, isKnown := pools[name]
		if !isKnown || seen[name] {
			continue
		}
		seen[name] = true
		inWave[pool]++
		if inWave[pool] == sizes[pool] && w.MaxDown >= sizes[pool] {
			r.Add(Warning, "wave-takes-pool", w.Places.Of(FieldMaxDown), "wave %d may take all %d machines of pool %s down at once", w.Number, sizes[pool], quote(pool))
		}
	}
}
