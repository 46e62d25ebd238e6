package queue

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestPlanMoves(t *testing.T) {
	scenarios := []struct {
		testName string
		sites    []siteLoad
		expected []move
	}{
		{"one site", []siteLoad{{"a", 8, 30}}, nil},
		{"balanced", []siteLoad{{"a", 8, 10}, {"b", 8, 10}}, nil},
		{"surplus at this site", []siteLoad{{"a", 8, 20}, {"b", 8, 0}}, []move{{"t", "b", 9}}},
		{"in proportion to slots", []siteLoad{{"a", 8, 40}, {"b", 24, 0}}, []move{{"t", "b", 29}}},
		{"surplus at another site", []siteLoad{{"a", 8, 0}, {"b", 8, 20}}, nil},
		{"two sites with a surplus", []siteLoad{{"a", 8, 30}, {"b", 8, 30}, {"c", 8, 0}}, []move{{"t", "c", 9}}},
		{"a site without slots gets nothing", []siteLoad{{"a", 8, 30}, {"b", 0, 0}, {"c", 8, 0}}, []move{{"t", "c", 14}}},
		{"no slots anywhere", []siteLoad{{"a", 0, 30}, {"b", 0, 0}}, nil},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			moves := planMoves("t", s.sites)
			assert.Equal(t, len(moves), len(s.expected), "%v", moves)
			for i, m := range moves {
				assert.Equal(t, m, s.expected[i])
			}
		})
	}
}

// Moves never take a dispatcher below its proportional share, and all dispatchers' moves together fill no other one to more
// than its share plus one.
func TestMovesKeepToProportionalShares(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	rapid.Check(t, func(rt *rapid.T) {
		var sites []siteLoad
		slots, total := 0, 0
		for _, name := range names[:rapid.IntRange(1, len(names)).Draw(rt, "sites")] {
			site := siteLoad{name, rapid.IntRange(1, 40).Draw(rt, "slots"), rapid.IntRange(0, 200).Draw(rt, "waiting")}
			slots += site.slots
			total += site.waiting
			sites = append(sites, site)
		}
		after := map[string]int{}
		for i, site := range sites {
			after[site.dataCentre] += site.waiting
			order := append([]siteLoad{site}, append(append([]siteLoad(nil), sites[:i]...), sites[i+1:]...)...)
			for _, m := range planMoves("t", order) {
				after[site.dataCentre] -= m.count
				after[m.to] += m.count
			}
		}
		for _, site := range sites {
			least := min(site.waiting, total*site.slots/slots)
			assert.Assert(rt, after[site.dataCentre] >= least, "%s: %d of %d", site.dataCentre, after[site.dataCentre], least)
			most := max(site.waiting, total*site.slots/slots+1)
			assert.Assert(rt, after[site.dataCentre] <= most, "%s: %d above %d", site.dataCentre, after[site.dataCentre], most)
		}
	})
}
