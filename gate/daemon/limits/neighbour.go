package limits

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"mangowing/gate/peers"
)

const initiatorKey = "limits-recount"

// Neighbour is one declared gate of the data centre as the membership view has it.
type Neighbour struct {
	Address     string // the peer address
	Incarnation string // the last run heard of, empty for none
	Reachable   bool   // it answered lately
	Refused     bool   // its address refused the last connection
	Stopping    bool   // its planned stop began
	Self        bool   // it is this gate
}

// NeighboursOf returns the declared gates of a data centre.
func NeighboursOf(view *peers.View, dataCentre string) []Neighbour {
	var out []Neighbour
	for _, m := range view.Members() {
		if m.DataCentre() != dataCentre {
			continue
		}
		out = append(out, Neighbour{
			Address: m.Address(), Incarnation: m.Incarnation(), Reachable: view.IsReachable(m),
			Refused: m.IsRefusing(), Stopping: m.IsStopping(), Self: m.IsSelf(),
		})
	}
	return out
}

// silent tells whether nothing is known of the gate: neither an answer nor a refusal.
func (n Neighbour) silent() bool { return !n.Self && !n.Reachable && !n.Refused }

func addressesOf(neighbours []Neighbour) (all []string, own string) {
	for _, n := range neighbours {
		all = append(all, n.Address)
		if n.Self {
			own = n.Address
		}
	}
	return all, own
}

// rankOf returns this gate's place in the order in which the reachable gates begin recounts.
func rankOf(neighbours []Neighbour) int {
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

func addressOf(neighbours []Neighbour, incarnation string) (string, bool) {
	i := slices.IndexFunc(neighbours, func(n Neighbour) bool { return n.Incarnation == incarnation && n.Reachable })
	if i < 0 {
		return "", false
	}
	return neighbours[i].Address, true
}
