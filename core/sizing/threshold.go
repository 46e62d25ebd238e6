package sizing

// decideThreshold first grows the pools above the high mark, then returns what the pools below the low mark borrowed.
func (t *table) decideThreshold(p Threshold) {
	for to, r := range t.rows {
		for r.utilization() > p.high {
			from := t.lender(to, p)
			if from < 0 {
				break
			}
			t.move(from, to)
		}
	}
	for from, r := range t.rows {
		for r.movable > 0 && r.vms > r.load.DeclaredVMs() && r.utilization() < p.low {
			to := t.creditor(from)
			if to < 0 {
				break
			}
			t.move(from, to)
		}
	}
}

// lender returns the spare pool while it is below the high mark, else the least used pool below the low mark, -1 for none.
func (t *table) lender(to int, p Threshold) int {
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

// creditor returns the pool with the most VMs missing from its declared size, -1 for none.
func (t *table) creditor(from int) int {
	best, most := -1, 0
	for i, r := range t.rows {
		if missing := r.load.DeclaredVMs() - r.vms; i != from && missing > most {
			best, most = i, missing
		}
	}
	return best
}
