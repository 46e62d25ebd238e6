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

// reply is what a caller got for one request.
type reply struct {
	work    string
	status  int
	outcome string
	code    int
	body    string
	err     error
}

// task is one piece of work that a caller hands in.
type task struct {
	queue   string
	key     string
	work    string
	runMs   int
	ticket  string
	idem    string
	timeout string
}

// send hands the task to one gate.
func (g *gateProcess) send(c task) reply {
	req, err := http.NewRequest(http.MethodPost, "http://"+g.caller+"/v1/queues/"+c.queue+"/requests", http.NoBody)
	if err != nil {
		return reply{work: c.work, err: err}
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Stand-Run-Ms", strconv.Itoa(c.runMs))
	req.Header.Set("Stand-Work-Id", c.work)
	if c.ticket != "" {
		req.Header.Set("Mango-Ticket", c.ticket)
	}
	if c.idem != "" {
		req.Header.Set("Idempotency-Key", c.idem)
	}
	if c.timeout != "" {
		req.Header.Set("Mango-Timeout", c.timeout)
	}
	resp, err := g.fleet.client.Do(req)
	if err != nil {
		return reply{work: c.work, err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	code, _ := strconv.Atoi(resp.Header.Get("Mango-Code"))
	return reply{c.work, resp.StatusCode, resp.Header.Get("Mango-Outcome"), code, string(body), err}
}

// mint takes a ticket from the gate.
func (g *gateProcess) mint(key string) (string, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+g.caller+"/v1/tickets", http.NoBody)
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

// sendAnywhere acts as the balancer: the next ready gate, another one where the connection is refused.
func (f *fleet) sendAnywhere(n int, c task) reply {
	var last reply
	for i := range f.gates {
		g := f.gates[(n+i)%len(f.gates)]
		if !g.ready() {
			continue
		}
		last = g.send(c)
		if !errors.Is(last.err, syscall.ECONNREFUSED) {
			return last
		}
	}
	return last
}

// load is a steady stream of requests until it is ended.
type load struct {
	stop    atomic.Bool
	wg      sync.WaitGroup
	mu      sync.Mutex
	replies []reply
}

// startLoad keeps the given number of callers busy.
func (f *fleet) startLoad(callers int, prefix string, c task) *load {
	l := &load{}
	for n := range callers {
		l.wg.Go(func() {
			for i := 0; !l.stop.Load(); i++ {
				one := c
				one.work = fmt.Sprintf("%s-%d-%d", prefix, n, i)
				r := f.sendAnywhere(n+i, one)
				l.mu.Lock()
				l.replies = append(l.replies, r)
				l.mu.Unlock()
				if r.status != http.StatusOK {
					time.Sleep(checkPeriod)
				}
			}
		})
	}
	return l
}

// end stops the stream, waits for the last answers and returns all.
func (l *load) end() []reply {
	l.stop.Store(true)
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
