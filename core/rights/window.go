package rights

const windowWidth = 64

// window remembers which of a sender's last sequence numbers were taken; numbers below it count as taken.
type window struct {
	highest uint64
	taken   uint64
}

// take tells whether the number is new, and notes it.
func (w *window) take(seq uint64) bool {
	if seq > w.highest {
		w.taken = w.taken<<(seq-w.highest) | 1
		w.highest = seq
		return true
	}
	age := w.highest - seq
	if age >= windowWidth || w.taken&(1<<age) != 0 {
		return false
	}
	w.taken |= 1 << age
	return true
}
