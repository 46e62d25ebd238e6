package daemon

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"mangowing/gate/daemon/queue"
)

// writeMetrics writes the process's registered metrics and the gate's current state.
func (g *gate) writeMetrics(w io.Writer) {
	metrics.WritePrometheus(w, true)
	st := g.control.State()
	metrics.WriteGaugeUint64(w, "mango_log_offset", st.Offset())
	metrics.WriteGaugeUint64(w, "mango_log_staleness_ms", uint64(g.control.StalenessMs()))
	metrics.WriteGaugeUint64(w, "mango_vm_list_staleness_ms", uint64(g.vms.StalenessMs()))
	metrics.WriteGaugeUint64(w, "mango_records_malformed", st.Malformed())
	metrics.WriteGaugeUint64(w, "mango_process_pauses", g.process.Timers().Pauses())
	received, sent := g.network.Bytes()
	metrics.WriteCounterUint64(w, "mango_peer_received_bytes_total", received)
	metrics.WriteCounterUint64(w, "mango_peer_sent_bytes_total", sent)
	for _, pool := range st.Config().Pools() {
		g.writePool(w, pool)
	}
	for _, team := range st.Config().Teams() {
		g.writeTeam(w, team)
	}
}

func (g *gate) writePool(w io.Writer, pool string) {
	l, dispatched := g.queues.Load(pool)
	if !dispatched {
		return
	}
	label := fmt.Sprintf("{pool=%q}", pool)
	metrics.WriteGaugeUint64(w, "mango_pool_waiting"+label, uint64(l.Waiting()))
	metrics.WriteGaugeUint64(w, "mango_pool_running"+label, uint64(l.Running()))
	metrics.WriteGaugeUint64(w, "mango_pool_slots"+label, uint64(l.Slots()))
	for _, t := range l.Teams() {
		writeTeamLoad(w, pool, t)
	}
}

func writeTeamLoad(w io.Writer, pool string, t queue.TeamLoad) {
	label := fmt.Sprintf("{pool=%q,team=%q}", pool, t.Name())
	metrics.WriteGaugeUint64(w, "mango_team_waiting"+label, uint64(t.Waiting()))
	metrics.WriteGaugeUint64(w, "mango_team_running"+label, uint64(t.Running()))
	metrics.WriteGaugeFloat64(w, "mango_team_slot_seconds"+label, t.Service())
}

// writeTeam writes the team's rights, if this gate holds any.
func (g *gate) writeTeam(w io.Writer, team string) {
	inUse, available := g.limits.Usage(team)
	if inUse == 0 && available == 0 {
		return
	}
	label := fmt.Sprintf("{team=%q}", team)
	metrics.WriteGaugeFloat64(w, "mango_rights_spent"+label, float64(inUse))
	metrics.WriteGaugeFloat64(w, "mango_rights_spare"+label, float64(available))
}
