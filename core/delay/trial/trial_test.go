package trial

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

func TestTablesAreTheSameOnEveryRun(t *testing.T) {
	text := ""
	for _, table := range Tables() {
		text += fmt.Sprintln(table)
	}
	golden.Assert(t, text, "tables.golden")
}

// Guards against a change that makes the chosen strategy lose where a baseline does: in each scenario it must come within a fifth of the
// best mean time, and each baseline must take at least half as long again as the best in some scenario.
func TestChosenStrategyLosesNowhere(t *testing.T) {
	trace, err := parseTrace(demandCSV)
	assert.NilError(t, err)
	chosen := len(strategies) - 1
	worst := make([]float64, len(strategies)) // mean time relative to the best
	for _, s := range scenarios {
		var means []time.Duration
		best := time.Duration(0)
		for _, each := range strategies {
			m := replayTrace(trace, s, each.strategy)
			if means = append(means, m.mean); best == 0 || m.mean < best {
				best = m.mean
			}
		}
		for i, m := range means {
			worst[i] = max(worst[i], m.Seconds()/best.Seconds())
		}
		assert.Assert(t, means[chosen].Seconds() <= 1.2*best.Seconds(), "%s: %s, the best is %s", s.name, means[chosen], best)
	}
	for i, each := range strategies[:chosen] {
		assert.Assert(t, worst[i] >= 1.5, "%s: %.2f", each.name, worst[i])
	}
}
