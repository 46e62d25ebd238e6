package peers

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Member is one declared gate and what was last heard of it; the zero time means never.
type Member struct {
	name       string
	dataCentre string
	address    string
	beat       beatWire
	heard      time.Time
	refused    bool
	self       bool
}

// NewMember returns a declared gate of which nothing was heard yet.
func NewMember(name, dataCentre, address string) Member {
	return Member{name: name, dataCentre: dataCentre, address: address}
}

// Name returns the gate's declared name.
func (m Member) Name() string { return m.name }

// DataCentre returns the gate's data centre.
func (m Member) DataCentre() string { return m.dataCentre }

// Address returns the gate's peer address, an IP number and a port.
func (m Member) Address() string { return m.address }

// Incarnation returns the id of the gate's last known run, empty if none was heard.
func (m Member) Incarnation() string { return m.beat.Incarnation }

// Offset returns the last log offset that the gate said it had folded.
func (m Member) Offset() uint64 { return m.beat.Offset }

// Digest returns the hash of the gate's state at its offset.
func (m Member) Digest() uint64 { return m.beat.Digest }

// StalenessMs returns how long ago the gate said it had last seen the log's end, in milliseconds.
func (m Member) StalenessMs() int64 { return m.beat.StalenessMs }

// IsReady reports whether the gate said it was ready.
func (m Member) IsReady() bool { return m.beat.Ready }

// IsStopping reports whether the gate said that its planned stop had begun.
func (m Member) IsStopping() bool { return m.beat.Stopping }

// LastHeartbeat returns when the last heartbeat was answered.
func (m Member) LastHeartbeat() time.Time { return m.heard }

// IsRefusing reports whether the gate's address refused the last connection, which proves that no process listens there.
func (m Member) IsRefusing() bool { return m.refused }

// IsSelf reports whether the member is this gate.
func (m Member) IsSelf() bool { return m.self }

// View is an immutable list of all declared gates as one gate sees them.
type View struct {
	members []Member
	now     time.Time
	timeout time.Duration
}

// Members returns all declared gates in declared order.
func (v *View) Members() []Member { return v.members }

// IsReachable reports whether the gate answered a heartbeat lately; this gate itself always did.
func (v *View) IsReachable(m Member) bool {
	return m.self || !m.refused && !m.heard.IsZero() && v.now.Sub(m.heard) < v.timeout
}

// Pick returns the gate that rendezvous hashing gives the key among the ready ones of a data centre.
func (v *View) Pick(dataCentre, key string) (Member, bool) {
	ranked := v.Rank(dataCentre, key)
	if len(ranked) == 0 {
		return Member{}, false
	}
	return ranked[0], true
}

// Rank returns the ready gates of a data centre, of all for an empty name, in rendezvous order for the key.
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

// DataCentres returns the names of all data centres in declared order.
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

// NewView returns a view in which the named gate is this one and all gates are ready and were just heard.
func NewView(members []Member, self string) *View {
	now := time.Now()
	v := &View{now: now, timeout: time.Minute}
	for _, m := range members {
		m.self = m.name == self
		m.heard = now
		m.beat.Ready = true
		v.members = append(v.members, m)
	}
	return v
}
