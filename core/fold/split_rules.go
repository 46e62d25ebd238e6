package fold

import "slices"

// withLimit returns the split of another limit, without a pending hand-over. A raise first gives back what was lost last,
// where it was lost: a data centre that has folded neither the fall nor the raise may still use it.
func (a allotState) withLimit(team string, dataCentres []string, limit int) allotState {
	split := make(map[string]int, len(dataCentres))
	total := 0
	for _, dc := range dataCentres {
		split[dc] = a.Split[dc]
		total += a.Split[dc]
	}
	lost := slices.Clone(a.Lost)
	for len(lost) > 0 && total < limit {
		last := len(lost) - 1
		back, left := lost[last].giveBack(dataCentres, limit-total)
		for dc, n := range back {
			split[dc] += n
			total += n
		}
		lost = lost[:last]
		if len(left) > 0 {
			lost = append(lost, left)
		}
	}
	next := resplit(team, split, dataCentres, limit)
	if fall := fallOf(split, next); len(fall) > 0 {
		lost = append(lost, fall)
	}
	return allotState{Split: next, Lost: lost}
}

// giveBack divides what was lost into at most n rights that go back and those left; a data centre that is no longer declared gets none.
func (l lostCounts) giveBack(dataCentres []string, n int) (back, left lostCounts) {
	back, left = lostCounts{}, lostCounts{}
	for _, dc := range dataCentres {
		given := min(l[dc], n)
		n -= given
		if given > 0 {
			back[dc] = given
		}
		if l[dc] > given {
			left[dc] = l[dc] - given
		}
	}
	return back, left
}

func fallOf(before, after map[string]int) lostCounts {
	fall := lostCounts{}
	for dc, n := range before {
		if n > after[dc] {
			fall[dc] = n - after[dc]
		}
	}
	return fall
}
