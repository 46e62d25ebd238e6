package once

import (
	"slices"

	"mangowing/gate/peers"
)

// Gate is a declared gate with its state in the membership view.
type Gate struct {
	Address     string // the peer address
	DataCentre  string // the data centre
	Incarnation string // the last known incarnation, empty for none
	Reachable   bool   // whether it answered a recent heartbeat
	Refusing    bool   // whether its address refused the last connection attempt
	Stopping    bool   // whether its planned stop has begun
	Self        bool   // whether it is this gate
}

// GatesOf returns every declared gate in the view.
func GatesOf(view *peers.View) []Gate {
	var out []Gate
	for _, m := range view.Members() {
		out = append(out, Gate{
			Address: m.Address(), DataCentre: m.DataCentre(), Incarnation: m.Incarnation(),
			Reachable: view.IsReachable(m), Refusing: m.IsRefusing(), Stopping: m.IsStopping(), Self: m.IsSelf(),
		})
	}
	return out
}

// isGone reports whether the incarnation has certainly ended: its address refuses connections, or another incarnation
// answers there.
func isGone(gates []Gate, incarnation string) bool {
	return !slices.ContainsFunc(gates, func(g Gate) bool {
		return g.Incarnation == incarnation && (g.Self || !g.Refusing)
	})
}

func reachableAddress(gates []Gate, incarnation string) (string, bool) {
	i := slices.IndexFunc(gates, func(g Gate) bool {
		return g.Incarnation == incarnation && g.Reachable && !g.Self
	})
	if i < 0 {
		return "", false
	}
	return gates[i].Address, true
}
