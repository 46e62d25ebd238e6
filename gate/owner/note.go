package owner

import (
	"encoding/json"

	"k8s.io/klog/v2"

	"mangowing/core/timer"
)

// kind tells the notes on the owner's topic apart.
type kind string

const (
	kindClaim   kind = "claim"
	kindBeat    kind = "beat"
	kindRelease kind = "release"
)

// note is a record of the owner's topic.
type note struct {
	Kind    kind   `json:"kind"`
	Name    string `json:"name"`
	Address string `json:"address"`
	Life    string `json:"life"`
	Number  int64  `json:"number"`
}

// fold takes over one record of the topic.
func (k *Keeper) fold(offset int64, record []byte) {
	var n note
	if err := json.Unmarshal(record, &n); err != nil {
		klog.ErrorS(err, "owner-record-unreadable", "offset", offset)
		return
	}
	now := timer.SinceBoot()
	switch n.Kind {
	case kindClaim:
		klog.InfoS("owner-claimed", "owner", n.Name, "epoch", offset+1)
		k.view = View{name: n.Name, address: n.Address, epoch: offset + 1, seen: now}
		k.foldClaim(n, offset+1)
		k.notify()
	case kindBeat:
		k.view.seen, k.view.refused = now, false
		if n.Life == k.life {
			k.beatenAt(n.Number)
		}
	case kindRelease:
		k.view.left = true
		k.notify()
	}
}

// foldClaim makes this gate the owner by its own claim, and ends its ownership by another's.
func (k *Keeper) foldClaim(n note, epoch int64) {
	if n.Life == k.life && !k.stopped {
		k.mine = epoch
		k.beaten = k.sent[n.Number]
		return
	}
	if k.mine != 0 && k.mine < epoch {
		klog.InfoS("ownership-lost", "epoch", k.mine, "why", "another gate claimed it")
		k.mine = 0
	}
}

func (k *Keeper) beatenAt(number int64) {
	if at, found := k.sent[number]; found {
		k.beaten = max(k.beaten, at)
		delete(k.sent, number)
	}
}
