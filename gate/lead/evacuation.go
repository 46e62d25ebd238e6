package lead

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"mangowing/core/sched"
)

const (
	metricEvacuated       = "mangowing_evacuated_data_centres"
	metricEvacuationTasks = "mangowing_evacuation_tasks"
	// Starts are held once the last read of the declarations that has returned was started this share of the evacuation bound ago. The rest
	// is left for an order on its way.
	maxUnreadShare = 0.8
)

// applyEvacuations passes the evacuations that this gate has read from the platform to the scheduler.
func (t *term) applyEvacuations(now time.Time) {
	if names, offset, known := t.deps.Configs.Evacuations(); known {
		t.scheduler.SetEvacuations(now, names, offset)
	}
}

// canStart reports whether starts may be sent now: this gate may send orders, and knows of evacuations. A gate that was paused may learn of
// one only after it may send orders again.
func (t *term) canStart() bool {
	bound := t.deps.Options.EvacuationBound
	return t.deps.Elector.CanOrder() && (bound == 0 || !isReadOverdue(bound, t.deps.Configs.TimeSinceRead()))
}

func isReadOverdue(bound, sinceRead time.Duration) bool {
	return sinceRead > time.Duration(maxUnreadShare*float64(bound))
}

func (t *term) logEvacuations() {
	for _, e := range t.scheduler.TakeEvacuationEvents() {
		klog.InfoS(e.Event, "data-centre", e.DataCentre, "since", e.Since.UTC().Format(time.RFC3339Nano), "workers", e.Workers, "tasks", e.Tasks)
	}
}

// evacuationMeter publishes the gauges of evacuations.
type evacuationMeter struct {
	published map[string]bool // names of the gauges of single data centres
}

// publish sets the gauges, and removes those of data centres that are no longer evacuated.
func (m *evacuationMeter) publish(loads []sched.EvacuationLoad) {
	if len(loads) == 0 && m.published == nil {
		return
	}
	setGauge(metricEvacuated, "", float64(len(loads)))
	current := map[string]bool{}
	for _, l := range loads {
		labels := fmt.Sprintf("{data_centre=%q}", l.DataCentre)
		current[metricEvacuationTasks+labels] = true
		setGauge(metricEvacuationTasks, labels, float64(l.Tasks))
	}
	for name := range m.published {
		if !current[name] {
			metrics.UnregisterMetric(name)
		}
	}
	m.published = current
}
