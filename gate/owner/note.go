package owner

import (
	"encoding/json"

	"k8s.io/klog/v2"

	"mangowing/core/timer"
)

// kind tells the notes on the owner's topic apart.
type noteKind string

const (
	kindClaim     noteKind = "claim"
	kindHeartbeat noteKind = "beat"
	kindRelease   noteKind = "release"
)

// note is a record of the owner's topic.
type note struct {
	Kind    noteKind `json:"kind"`
	Name    string   `json:"name"`
	Address string   `json:"address"`
	Life    string   `json:"life"`
	Number  int64    `json:"number"`
}

// fold takes over one record of the topic.
func (e *Elector) applyNote(offset int64, record []byte) {
	var n note
	if err := json.Unmarshal(record, &n); err != nil {
		klog.ErrorS(err, "owner-record-unreadable", "offset", offset)
		return
	}
	now := timer.SinceBoot()
	switch n.Kind {
	case kindClaim:
		klog.InfoS("owner-claimed", "owner", n.Name, "epoch", offset+1)
		e.view = View{name: n.Name, address: n.Address, epoch: offset + 1, lastSeen: now}
		e.applyClaim(n, offset+1)
		e.notify()
	case kindHeartbeat:
		e.view.lastSeen, e.view.refusedConnection = now, false
		if n.Life == e.instance {
			e.recordHeartbeat(n.Number)
		}
	case kindRelease:
		e.view.released = true
		e.notify()
	}
}

// foldClaim makes this gate the owner by its own claim, and ends its ownership by another's.
func (e *Elector) applyClaim(n note, epoch int64) {
	if n.Life == e.instance && !e.stopped {
		e.ownEpoch = epoch
		e.lastHeartbeat = e.sentAt[n.Number]
		return
	}
	if e.ownEpoch != 0 && e.ownEpoch < epoch {
		klog.InfoS("ownership-lost", "epoch", e.ownEpoch, "why", "another gate claimed it")
		e.ownEpoch = 0
	}
}

func (e *Elector) recordHeartbeat(number int64) {
	if at, found := e.sentAt[number]; found {
		e.lastHeartbeat = max(e.lastHeartbeat, at)
		delete(e.sentAt, number)
	}
}
