package peers

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Member is a declared gate with its last heartbeat.
type Member struct {
	name          string
	dataCentre    string
	address       string
	heartbeat     heartbeatWire
	lastHeartbeat time.Time
	refusing      bool
	isSelf        bool
}

// NewMember returns a declared gate from which no heartbeat has been received.
func NewMember(name, dataCentre, address string) Member {
	return Member{name: name, dataCentre: dataCentre, address: address}
}

// Name returns the gate's declared name.
func (m Member) Name() string { return m.name }

// DataCentre returns the gate's data centre.
func (m Member) DataCentre() string { return m.dataCentre }

// Address returns the gate's peer address, an IP address and a port.
func (m Member) Address() string { return m.address }

// Incarnation returns the id of the gate's last known process, empty if none is known.
func (m Member) Incarnation() string { return m.heartbeat.Incarnation }

// Offset returns the offset of the last log entry that the gate has reported as applied to its state.
func (m Member) Offset() uint64 { return m.heartbeat.Offset }

// Digest returns the reported hash of the gate's state at Offset.
func (m Member) Digest() uint64 { return m.heartbeat.Digest }

// StalenessMs returns the reported time since the gate last read up to the log's end, in milliseconds.
func (m Member) StalenessMs() int64 { return m.heartbeat.StalenessMs }

// IsReady reports whether the gate's last heartbeat said that it is ready.
func (m Member) IsReady() bool { return m.heartbeat.Ready }

// IsStopping reports whether the gate's last heartbeat said that its planned stop has begun.
func (m Member) IsStopping() bool { return m.heartbeat.Stopping }

// LastHeartbeat returns when the gate's last heartbeat was received, the zero time if never.
func (m Member) LastHeartbeat() time.Time { return m.lastHeartbeat }

// IsRefusing reports whether the gate's address refused the last connection, which proves that no process listens there.
func (m Member) IsRefusing() bool { return m.refusing }

// IsSelf reports whether the member is this gate.
func (m Member) IsSelf() bool { return m.isSelf }

// View is an immutable snapshot of all declared gates as known to one gate.
type View struct {
	members      []Member
	takenAt      time.Time
	reachableFor time.Duration
}

// Members returns all declared gates, in the order of their declaration.
func (v *View) Members() []Member { return v.members }

// IsReachable reports whether a recent heartbeat of the gate was received. This gate itself is always reachable.
func (v *View) IsReachable(m Member) bool {
	return m.isSelf || !m.refusing && !m.lastHeartbeat.IsZero() && v.takenAt.Sub(m.lastHeartbeat) < v.reachableFor
}

// Pick returns the ready gate of the data centre that rendezvous hashing chooses for the key, false if none is ready.
func (v *View) Pick(dataCentre, key string) (Member, bool) {
	ranked := v.Rank(dataCentre, key)
	if len(ranked) == 0 {
		return Member{}, false
	}
	return ranked[0], true
}

// Rank returns the ready and reachable gates of the data centre, or of all if the name is empty, ordered by rendezvous hashing
// of the key.
func (v *View) Rank(dataCentre, key string) []Member {
	var out []Member
	for _, m := range v.members {
		if dataCentre != "" && m.dataCentre != dataCentre {
			continue
		}
		if v.IsReachable(m) && m.IsReady() && !m.IsStopping() {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b Member) int {
		x, y := score(key, a.name), score(key, b.name)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		default:
			return 0
		}
	})
	return out
}

// DataCentres returns the names of all data centres, in the order of their declaration.
func (v *View) DataCentres() []string {
	var out []string
	for _, m := range v.members {
		if !slices.Contains(out, m.dataCentre) {
			out = append(out, m.dataCentre)
		}
	}
	return out
}

func score(key, name string) uint64 { return xxhash.Sum64String(key + "\x00" + name) }

// NewView returns a view, for tests, in which self names this gate and all gates are ready and reachable.
func NewView(members []Member, self string) *View {
	now := time.Now()
	v := &View{takenAt: now, reachableFor: time.Minute}
	for _, m := range members {
		m.isSelf = m.name == self
		m.lastHeartbeat = now
		m.heartbeat.Ready = true
		v.members = append(v.members, m)
	}
	return v
}
