package sizing

// decideThreshold first grows the pools above the high mark, then returns the surplus VMs of the pools below the low mark.
func (t *table) decideThreshold(p Threshold) {
	for to, r := range t.rows {
		for r.utilization() > p.high {
			from := t.findSource(to, p)
			if from < 0 {
				break
			}
			t.move(from, to)
		}
	}
	for from, r := range t.rows {
		for r.movable > 0 && r.vms > r.load.DeclaredVMs() && r.utilization() < p.low {
			to := t.findUndersized(from)
			if to < 0 {
				break
			}
			t.move(from, to)
		}
	}
}

// findSource returns the spare pool if it is below the high mark, else the least utilized pool below the low mark, else -1.
func (t *table) findSource(to int, p Threshold) int {
	best := -1
	for i, r := range t.rows {
		if i == to || r.movable <= 0 {
			continue
		}
		if r.isSpare && r.utilization() < p.high {
			return i
		}
		if r.utilization() < p.low && (best < 0 || r.utilization() < t.rows[best].utilization()) {
			best = i
		}
	}
	return best
}

// findUndersized returns the pool that lacks the most VMs of its declared size, or -1.
func (t *table) findUndersized(from int) int {
	best, most := -1, 0
	for i, r := range t.rows {
		if missing := r.load.DeclaredVMs() - r.vms; i != from && missing > most {
			best, most = i, missing
		}
	}
	return best
}
