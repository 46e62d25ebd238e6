package once

import (
	"slices"

	"mangowing/gate/peers"
)

// Gate is one declared gate as the membership view has it.
type Gate struct {
	Address     string // the peer address
	DataCentre  string // the data centre
	Incarnation string // the last run heard of, empty for none
	Reachable   bool   // it answered lately
	Refusing    bool   // its address refused the last connection
	Stopping    bool   // its planned stop began
	Self        bool   // it is this gate
}

// GatesOf returns every declared gate.
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

// gone tells whether the incarnation certainly ended: its address refuses, or another one answers there.
func gone(gates []Gate, incarnation string) bool {
	return !slices.ContainsFunc(gates, func(g Gate) bool {
		return g.Incarnation == incarnation && (g.Self || !g.Refusing)
	})
}

func addressOf(gates []Gate, incarnation string) (string, bool) {
	i := slices.IndexFunc(gates, func(g Gate) bool {
		return g.Incarnation == incarnation && g.Reachable && !g.Self
	})
	if i < 0 {
		return "", false
	}
	return gates[i].Address, true
}
