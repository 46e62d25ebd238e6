package rights

const windowSize = 64

// window records which of a sender's last sequence numbers were received. Older numbers count as received.
type window struct {
	highest  uint64
	received uint64 // bit n is set if the number highest-n was received
}

// markReceived records the number and reports whether it is new.
func (w *window) markReceived(seq uint64) bool {
	if seq > w.highest {
		w.received = w.received<<(seq-w.highest) | 1
		w.highest = seq
		return true
	}
	age := w.highest - seq
	if age >= windowSize || w.received&(1<<age) != 0 {
		return false
	}
	w.received |= 1 << age
	return true
}
