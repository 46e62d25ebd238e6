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
	Incarnation string // the last known incarnation, empty for none
	Reachable   bool   // whether it answered recently
	Refusing    bool   // whether its address refused the last connection
	Stopping    bool   // whether it has begun a planned stop
	Self        bool   // whether it is this gate
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

// isUnresponsive reports whether the gate neither answers nor refuses connections, so that it may or may not be alive.
func (n LocalGate) isUnresponsive() bool { return !n.Self && !n.Reachable && !n.Refusing }

func addressesOf(gates []LocalGate) (all []string, ownAddress string) {
	for _, n := range gates {
		all = append(all, n.Address)
		if n.Self {
			ownAddress = n.Address
		}
	}
	return all, ownAddress
}

// initiatorRank returns this gate's rank among the reachable gates as initiator of a recount; 0 goes first.
func initiatorRank(gates []LocalGate) int {
	var ownScore uint64
	for _, n := range gates {
		if n.Self {
			ownScore = score(n.Address)
		}
	}
	rank := 0
	for _, n := range gates {
		if n.Reachable && !n.Self && !n.Stopping && score(n.Address) > ownScore {
			rank++
		}
	}
	return rank
}

func score(address string) uint64 { return xxhash.Sum64String(initiatorKey + "\x00" + address) }

func addressOf(gates []LocalGate, incarnation string) (string, bool) {
	i := slices.IndexFunc(gates, func(n LocalGate) bool { return n.Incarnation == incarnation && n.Reachable })
	if i < 0 {
		return "", false
	}
	return gates[i].Address, true
}
