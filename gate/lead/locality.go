package lead

import (
	"k8s.io/klog/v2"

	"mangowing/core/sched"
)

const (
	metricPlacementWaits  = "mangowing_placement_waits"
	metricPlacementWaited = "mangowing_placement_waited_seconds"
)

// logLocalityWaits logs what tasks that wait for a placement near their data did since the last call, if anything, and publishes the
// counts.
func (t *term) logLocalityWaits() {
	last, waits := t.loggedWaits, t.scheduler.LocalityWaits()
	if waits == last {
		return
	}
	t.loggedWaits = waits
	setGauge(metricPlacementWaits, `{what="begun"}`, float64(waits.Begun()))
	setGauge(metricPlacementWaits, `{what="gained"}`, float64(waits.Gained()))
	setGauge(metricPlacementWaits, `{what="in-vain"}`, float64(waits.InVain()))
	setGauge(metricPlacementWaited, "", waits.Waited().Seconds())
	klog.InfoS("placement-waits", "begun", waits.Begun()-last.Begun(), "gained", waits.Gained()-last.Gained(),
		"in-vain", waits.InVain()-last.InVain(), "mean-ms", meanWait(last, waits))
}

// meanWait returns how many milliseconds the waits took in the mean that ended between two counts.
func meanWait(last, waits sched.LocalityWaits) int64 {
	ended := waits.Gained() + waits.InVain() - last.Gained() - last.InVain()
	if ended == 0 {
		return 0
	}
	return (waits.Waited() - last.Waited()).Milliseconds() / int64(ended)
}
