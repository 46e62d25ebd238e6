package fold

import "slices"

// withLimit returns the split for another limit, without a pending hand-over. A raise first restores the rights that were
// lost last, in the data centres that lost them: a data centre that has folded neither the decrease nor the raise may still be
// using them.
func (a allotmentState) withLimit(team string, dataCentres []string, limit int) allotmentState {
	split := make(map[string]int, len(dataCentres))
	total := 0
	for _, dc := range dataCentres {
		split[dc] = a.Split[dc]
		total += a.Split[dc]
	}
	lost := slices.Clone(a.Lost)
	for len(lost) > 0 && total < limit {
		last := len(lost) - 1
		restored, left := lost[last].restore(dataCentres, limit-total)
		for dc, n := range restored {
			split[dc] += n
			total += n
		}
		lost = lost[:last]
		if len(left) > 0 {
			lost = append(lost, left)
		}
	}
	next := adjustSplit(team, split, dataCentres, limit)
	if decreased := decreases(split, next); len(decreased) > 0 {
		lost = append(lost, decreased)
	}
	return allotmentState{Split: next, Lost: lost}
}

// restore divides the lost rights into at most n that are restored and the rest. Data centres that are no longer declared
// get none.
func (l lostCounts) restore(dataCentres []string, n int) (restored, left lostCounts) {
	restored, left = lostCounts{}, lostCounts{}
	for _, dc := range dataCentres {
		given := min(l[dc], n)
		n -= given
		if given > 0 {
			restored[dc] = given
		}
		if l[dc] > given {
			left[dc] = l[dc] - given
		}
	}
	return restored, left
}

func decreases(before, after map[string]int) lostCounts {
	out := lostCounts{}
	for dc, n := range before {
		if n > after[dc] {
			out[dc] = n - after[dc]
		}
	}
	return out
}
