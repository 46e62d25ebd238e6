package owner

import (
	"encoding/json"
	"time"

	"k8s.io/klog/v2"

	"mangowing/core/logs"
	"mangowing/core/timer"
	"mangowing/gate/segs"
)

// recordKind is the kind of a record of the owner topic.
type recordKind string

const (
	kindClaim     recordKind = "claim"
	kindHeartbeat recordKind = "beat"
	kindRelease   recordKind = "release"
	// The owner continues the journal on another segment.
	kindSegment recordKind = "segment"
)

// ownerRecord is a record of the owner topic.
type ownerRecord struct {
	Kind     recordKind `json:"kind"`
	Name     string     `json:"name"`
	Address  string     `json:"address"`
	Instance string     `json:"life"`
	Number   int64      `json:"number"`
	// The segment of the journal that counts from this record on, nil where the journal has always been on partition 0.
	Segment *segs.Segment `json:"segment,omitempty"`
}

// applyRecord updates the view of the owner from one record of the topic.
func (e *Elector) applyRecord(offset int64, record []byte) {
	var n ownerRecord
	if err := json.Unmarshal(record, &n); err != nil {
		klog.InfoS("owner-record-unreadable", "offset", offset, "why", logs.Shorten(err))
		return
	}
	now := timer.SinceBoot()
	if n.Segment != nil {
		e.applySegment(offset, *n.Segment)
	}
	switch n.Kind {
	case kindClaim:
		klog.InfoS("owner-claimed", "owner", n.Name, "epoch", offset+1)
		e.predecessorSeenAt = e.lastSeenOwner(now)
		e.view = View{name: n.Name, address: n.Address, epoch: offset + 1, lastSeen: now}
		e.applyClaim(n, offset+1)
		e.notify()
	case kindHeartbeat, kindSegment:
		e.view.lastSeen, e.view.refusedConnection = now, false
		if n.Instance == e.instance {
			e.recordHeartbeat(n.Number)
		}
	case kindRelease:
		e.view.released = true
		e.notify()
	}
}

// lastSeenOwner returns a time after which no owner so far has sent a heartbeat.
func (e *Elector) lastSeenOwner(now time.Duration) time.Duration {
	if e.view.name == "" {
		return now
	}
	return max(e.view.lastSeen, e.missedAt)
}

// applyClaim makes this gate the owner if the claim is its own, else it ends this gate's ownership.
func (e *Elector) applyClaim(n ownerRecord, epoch int64) {
	if n.Instance == e.instance && !e.stopped {
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
