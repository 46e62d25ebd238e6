package limits

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"mangowing/gate/peers"
)

const initiatorKey = "limits-recount"

// LocalGate is the membership state of one declared gate of this data centre.
type LocalGate struct {
	Address     string // the peer address
	Incarnation string // the last run heard of, empty for none
	Reachable   bool   // it answered lately
	Refusing    bool   // its address refused the last connection
	Stopping    bool   // its planned stop began
	Self        bool   // it is this gate
}

// LocalGatesOf returns the declared gates of a data centre, this gate included.
func LocalGatesOf(view *peers.View, dataCentre string) []LocalGate {
	var out []LocalGate
	for _, m := range view.Members() {
		if m.DataCentre() != dataCentre {
			continue
		}
		out = append(out, LocalGate{
			Address: m.Address(), Incarnation: m.Incarnation(), Reachable: view.IsReachable(m),
			Refusing: m.IsRefusing(), Stopping: m.IsStopping(), Self: m.IsSelf(),
		})
	}
	return out
}

// silent tells whether nothing is known of the gate: neither an answer nor a refusal.
func (n LocalGate) silent() bool { return !n.Self && !n.Reachable && !n.Refusing }

func addressesOf(neighbours []LocalGate) (all []string, own string) {
	for _, n := range neighbours {
		all = append(all, n.Address)
		if n.Self {
			own = n.Address
		}
	}
	return all, own
}

// rankOf returns this gate's place in the order in which the reachable gates begin recounts.
func rankOf(neighbours []LocalGate) int {
	var own uint64
	for _, n := range neighbours {
		if n.Self {
			own = score(n.Address)
		}
	}
	rank := 0
	for _, n := range neighbours {
		if n.Reachable && !n.Self && !n.Stopping && score(n.Address) > own {
			rank++
		}
	}
	return rank
}

func score(address string) uint64 { return xxhash.Sum64String(initiatorKey + "\x00" + address) }

func addressOf(neighbours []LocalGate, incarnation string) (string, bool) {
	i := slices.IndexFunc(neighbours, func(n LocalGate) bool { return n.Incarnation == incarnation && n.Reachable })
	if i < 0 {
		return "", false
	}
	return neighbours[i].Address, true
}
