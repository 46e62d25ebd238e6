package lead

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestLoopMeterCountsWorkAndNotWaits(t *testing.T) {
	var l loopMeter
	at := time.Unix(100, 0)
	l.endIteration(at)
	for _, took := range []time.Duration{3 * time.Millisecond, 20 * time.Millisecond, time.Millisecond} {
		assert.Equal(t, l.beginIteration(at), at)
		l.endIteration(at.Add(took))
		at = at.Add(time.Second)
	}
	busy, longest := l.takeTotals()
	assert.Equal(t, busy, 24*time.Millisecond)
	assert.Equal(t, longest, 20*time.Millisecond)
	busy, longest = l.takeTotals()
	assert.Equal(t, busy+longest, time.Duration(0))
}
