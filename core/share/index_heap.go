package share

// indexHeap is a binary heap whose elements store their position, so that any of them can be moved or removed.
type indexHeap[T any] struct {
	items    []T
	less     func(a, b T) bool
	position func(T) *int // 1-based, 0 outside the heap
}

func (h *indexHeap[T]) len() int { return len(h.items) }

func (h *indexHeap[T]) contains(x T) bool { return *h.position(x) != 0 }

func (h *indexHeap[T]) top() (T, bool) {
	if len(h.items) == 0 {
		var none T
		return none, false
	}
	return h.items[0], true
}

func (h *indexHeap[T]) push(x T) {
	h.items = append(h.items, x)
	h.set(len(h.items)-1, x)
	h.siftUp(len(h.items) - 1)
}

func (h *indexHeap[T]) fix(x T) {
	if i := *h.position(x) - 1; i >= 0 {
		h.siftDown(i)
		h.siftUp(*h.position(x) - 1)
	}
}

func (h *indexHeap[T]) remove(x T) bool {
	i := *h.position(x) - 1
	if i < 0 {
		return false
	}
	last := len(h.items) - 1
	moved := h.items[last]
	var none T
	h.items[last] = none
	h.items = h.items[:last]
	if i < last {
		h.set(i, moved)
		h.fix(moved)
	}
	*h.position(x) = 0
	return true
}

func (h *indexHeap[T]) set(i int, x T) {
	h.items[i] = x
	*h.position(x) = i + 1
}

func (h *indexHeap[T]) swap(i, j int) {
	a, b := h.items[i], h.items[j]
	h.set(i, b)
	h.set(j, a)
}

func (h *indexHeap[T]) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *indexHeap[T]) siftDown(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h.items); child++ {
			if h.less(h.items[child], h.items[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		h.swap(i, least)
		i = least
	}
}
