package lead

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/core/sched"
)

// Guards against starts by a gate that was paused, and may send orders again before it has read what was declared meanwhile.
func TestStartsWaitForAnOverdueRead(t *testing.T) {
	for sinceRead, overdue := range map[time.Duration]bool{0: false, 2 * time.Second: false, 4 * time.Second: false, 4100 * time.Millisecond: true} {
		assert.Equal(t, isReadOverdue(5*time.Second, sinceRead), overdue, "%v", sinceRead)
	}
}

// Guards against a panic of the metrics library on the name of a data centre, and against gauges that remain.
func TestEvacuationGauges(t *testing.T) {
	var m evacuationMeter
	m.publish(nil)
	assert.Assert(t, m.published == nil)
	m.publish([]sched.EvacuationLoad{{DataCentre: `a"},\`, Tasks: 3}, {DataCentre: "b"}})
	assert.Equal(t, len(m.published), 2)
	m.publish(nil)
	assert.Equal(t, len(m.published), 0)
}
