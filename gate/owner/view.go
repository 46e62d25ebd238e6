package owner

import "time"

// View is what a gate believes of the ownership.
type View struct {
	name              string
	address           string
	epoch             int64
	lastSeen          time.Duration // when its last record arrived, since boot
	released          bool          // it gave the ownership up
	refusedConnection bool          // it refused a connection
	unanswered        bool          // it did not answer this gate's last call
}

// Name returns the owner's name, empty if none is known.
func (v View) Name() string { return v.name }

// Address returns where gates reach the owner.
func (v View) Address() string { return v.address }

// Epoch returns the number of the ownership; a later one is higher.
func (v View) Epoch() int64 { return v.epoch }
