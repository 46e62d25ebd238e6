package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	decisionTime = 20 * time.Millisecond
	periodTime   = time.Millisecond
	validity     = 3 * time.Second
	waitingCalls = 32
)

// advisor is a stand-in for the service at recommendation, by PROTOCOL.md. Its policy, which workers may run a step, doesn't
// change.
type advisor struct {
	policy func(step, worker string) bool
	at     string

	mu      sync.Mutex
	turn    sync.Mutex
	waiting int
	tickets map[string]time.Time // by step, worker and ticket: until when it is valid
	asked   map[string]int       // how often the advisor was asked about a worker
}

func newAdvisor(policy func(step, worker string) bool) *advisor {
	return &advisor{policy: policy, tickets: map[string]time.Time{}, asked: map[string]int{}}
}

func (a *advisor) serve() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	a.at = listener.Addr().String()
	go func() { _ = (&http.Server{Handler: a}).Serve(listener) }()
}

func (a *advisor) address() string {
	if a == nil {
		return ""
	}
	return a.at
}

// ServeHTTP answers one call at a time.
func (a *advisor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if r.URL.Path != "/v1/advise" || json.NewDecoder(r.Body).Decode(&call) != nil || len(call.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	full := a.waiting >= waitingCalls
	if !full {
		a.waiting++
	}
	a.mu.Unlock()
	if full {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	a.turn.Lock()
	time.Sleep(decisionTime + time.Duration(len(call.Workers))*periodTime)
	a.turn.Unlock()
	approved := [][]string{}
	a.mu.Lock()
	a.waiting--
	for _, id := range call.Workers {
		a.asked[id]++
		if a.policy(call.Step, id) {
			ticket := "t-" + id + "-" + call.Step
			a.tickets[ticket] = time.Now().Add(validity)
			approved = append(approved, []string{id, ticket})
		}
	}
	a.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"approved": approved, "validity_ms": validity.Milliseconds()})
}

// allows reports whether a start carries a ticket that is valid for its step and worker, or is of a queue without a policy.
func (a *advisor) allows(w *worker, o order) bool {
	j := w.d.book.job(o.Task)
	if j == nil || !j.advised {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	step := o.Task[:strings.LastIndex(o.Task, ".")]
	return o.Ticket == "t-"+w.id+"-"+step && time.Now().Before(a.tickets[o.Ticket])
}
