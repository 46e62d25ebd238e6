package peers

import (
	"sync"

	"github.com/sourcegraph/jsonrpc2"
)

const (
	// Requests of other gates that are handled at the same time. Each ends within a second, and an owner answers a few thousand a second.
	maxRequestSlots = 2048
	// Parameters take a slot for each of these bytes, so that large requests don't take more memory than many small ones.
	bytesPerSlot = 8 << 10
)

// requestSlots bounds how many requests of other gates are handled at the same time, and the memory of their parameters.
type requestSlots struct {
	acquiring *sync.Mutex // held while slots are taken, so that two requests don't wait for each other with half of theirs
	slots     chan struct{}
}

func newRequestSlots() requestSlots {
	return requestSlots{&sync.Mutex{}, make(chan struct{}, maxRequestSlots)}
}

// acquire waits until the request may be handled, and returns a function that ends that.
func (s requestSlots) acquire(req *jsonrpc2.Request) (release func()) {
	n := 1
	if req.Params != nil {
		n = min(1+len(*req.Params)/bytesPerSlot, cap(s.slots))
	}
	s.acquiring.Lock()
	defer s.acquiring.Unlock()
	for range n {
		s.slots <- struct{}{}
	}
	return func() {
		for range n {
			<-s.slots
		}
	}
}
