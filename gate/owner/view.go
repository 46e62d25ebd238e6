package owner

import "time"

// View is what a gate knows of the current owner.
type View struct {
	name              string
	address           string
	epoch             int64
	lastSeen          time.Duration // when its last record was read, since boot
	released          bool          // it has released the ownership
	refusedConnection bool          // it refused a connection from this gate
	unanswered        bool          // it did not answer this gate's last call
}

// Name returns the owner's name, empty if none is known.
func (v View) Name() string { return v.name }

// Address returns the address at which gates reach the owner.
func (v View) Address() string { return v.address }

// Epoch returns the owner's epoch. Later owners have higher epochs.
func (v View) Epoch() int64 { return v.epoch }
