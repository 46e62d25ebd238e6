package prove

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// reply is a gate's answer to one request, or the error of the call.
type reply struct {
	workID  string
	status  int
	outcome string
	code    int
	body    string
	err     error
}

// request is one caller's request for a queue; the stand's worker runs it for runMs.
type request struct {
	queue          string
	key            string
	workID         string
	runMs          int
	ticket         string
	idempotencyKey string
	timeout        string
}

// sendRequest sends the request to this gate.
func (g *gateProcess) sendRequest(r request) reply {
	req, err := http.NewRequest(http.MethodPost, "http://"+g.callerAddress+"/v1/queues/"+r.queue+"/requests", http.NoBody)
	if err != nil {
		return reply{workID: r.workID, err: err}
	}
	req.Header.Set("Authorization", "Bearer "+r.key)
	req.Header.Set("Stand-Run-Ms", strconv.Itoa(r.runMs))
	req.Header.Set("Stand-Work-Id", r.workID)
	if r.ticket != "" {
		req.Header.Set("Mango-Ticket", r.ticket)
	}
	if r.idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", r.idempotencyKey)
	}
	if r.timeout != "" {
		req.Header.Set("Mango-Timeout", r.timeout)
	}
	resp, err := g.fleet.client.Do(req)
	if err != nil {
		return reply{workID: r.workID, err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	code, _ := strconv.Atoi(resp.Header.Get("Mango-Code"))
	return reply{r.workID, resp.StatusCode, resp.Header.Get("Mango-Outcome"), code, string(body), err}
}

// createTicket requests a new ticket from the gate.
func (g *gateProcess) createTicket(key string) (string, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+g.callerAddress+"/v1/tickets", http.NoBody)
	if err != nil {
		return "", err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := g.fleet.client.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		Ticket string `json:"ticket"`
	}
	return answer.Ticket, json.NewDecoder(resp.Body).Decode(&answer)
}

// sendBalanced sends the request as a load balancer does: to the next ready gate in turn from n, and to another one if the
// connection is refused.
func (f *fleet) sendBalanced(n int, req request) reply {
	var last reply
	for i := range f.gates {
		g := f.gates[(n+i)%len(f.gates)]
		if !g.isReady() {
			continue
		}
		last = g.sendRequest(req)
		if !errors.Is(last.err, syscall.ECONNREFUSED) {
			return last
		}
	}
	return last
}

// load is a closed-loop load of concurrent callers that runs until it is stopped.
type load struct {
	stopped atomic.Bool
	wg      sync.WaitGroup
	mu      sync.Mutex
	replies []reply
}

// startLoad starts callers that each send copies of the template one after the other.
func (f *fleet) startLoad(callers int, prefix string, template request) *load {
	l := &load{}
	for n := range callers {
		l.wg.Go(func() {
			for i := 0; !l.stopped.Load(); i++ {
				numbered := template
				numbered.workID = fmt.Sprintf("%s-%d-%d", prefix, n, i)
				r := f.sendBalanced(n+i, numbered)
				l.mu.Lock()
				l.replies = append(l.replies, r)
				l.mu.Unlock()
				if r.status != http.StatusOK {
					time.Sleep(pollInterval)
				}
			}
		})
	}
	return l
}

// stopAndWait stops the load, waits for the requests in flight and returns all replies.
func (l *load) stopAndWait() []reply {
	l.stopped.Store(true)
	l.wg.Wait()
	return l.replies
}

func countOutcome(replies []reply, outcome string) int {
	n := 0
	for _, r := range replies {
		if r.err == nil && r.outcome == outcome {
			n++
		}
	}
	return n
}
