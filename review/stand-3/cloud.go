package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	maintenanceTime = 2 * time.Second         // maintenance_s
	migrationTime   = 1500 * time.Millisecond // migration_s
	joinDelay       = 100 * time.Millisecond
)

// cloud is a stand-in for the machines' interface, by the section "Machines" of PROTOCOL.md, with checked fence numbers.
type cloud struct {
	world *world

	mu       sync.Mutex
	machines []*machine
	busy     bool // answers 503 and does nothing
	// The first upkeep order for this machine gets no answer, and is carried out lateBy after it arrived.
	lateMachine string
	lateBy      time.Duration
	lateOrdered time.Time
	lives       int
}

type machine struct {
	id     string
	pool   string
	state  string
	worker *worker
	token  int64
	done   map[int64]bool // waves whose upkeep has begun
	wave   int64          // of the upkeep that goes on
}

func newCloud(w *world) *cloud { return &cloud{world: w, lives: 500} }

func (c *cloud) add(k *worker) {
	c.machines = append(c.machines, &machine{id: k.machine, pool: k.pool, state: "up", worker: k, done: map[int64]bool{}})
}

// workers returns the present workers of all machines.
func (c *cloud) workers() []*worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []*worker
	for _, m := range c.machines {
		if m.worker != nil {
			all = append(all, m.worker)
		}
	}
	return all
}

func (c *cloud) setBusy(busy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = busy
}

// lateOrderAt returns when the order that is carried out late arrived, the zero time if it has not.
func (c *cloud) lateOrderAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lateOrdered
}

// ServeHTTP handles a call of a gate.
func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	busy := c.busy
	c.mu.Unlock()
	if busy {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/v1/machines":
		c.list(w)
	case "/v1/machine-upkeep", "/v1/machine-move":
		c.order(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (c *cloud) list(w http.ResponseWriter) {
	c.mu.Lock()
	list := []map[string]any{}
	for _, m := range c.machines {
		entry := map[string]any{"host_machine": m.id, "pool": m.pool, "state": m.state, "zone": zoneName, "id": ""}
		if k := m.worker; k != nil {
			k.mu.Lock()
			entry["labels"], entry["capacity"] = k.labels, map[string]int{"cpu": k.cpu, "mem_mb": k.memMB, "gpu": 0}
			if k.up {
				entry["id"] = k.id
			} else if m.state == "up" {
				entry["state"] = "down"
			}
			k.mu.Unlock()
		}
		list = append(list, entry)
	}
	c.mu.Unlock()
	answerJSON(w, http.StatusOK, map[string]any{"machines": list, "next_token": nil})
}

type machineOrder struct {
	Machine string `json:"host_machine"`
	Pool    string `json:"pool"`
	Wave    int64  `json:"wave"`
	token   int64
}

func (c *cloud) order(w http.ResponseWriter, r *http.Request) {
	var o machineOrder
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	o.token, _ = strconv.ParseInt(r.Header.Get("Mangowing-Fencing-Token"), 10, 64)
	c.mu.Lock()
	isLate := o.Wave != 0 && o.Machine == c.lateMachine && c.lateOrdered.IsZero()
	if isLate {
		c.lateOrdered = time.Now()
	}
	c.mu.Unlock()
	if isLate {
		c.world.note("order of the upkeep of %s for wave %d with token %d gets no answer", o.Machine, o.Wave, o.token)
		time.AfterFunc(c.lateBy, func() {
			status, reason := c.carryOut(o)
			c.world.note("that order is carried out now: %d %s", status, reason)
		})
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	status, reason := c.carryOut(o)
	c.world.note("order of machine %s to wave %d, pool %q, with token %d: %d %s", o.Machine, o.Wave, o.Pool, o.token, status, reason)
	answerJSON(w, status, map[string]any{"reason": reason})
}

// carryOut carries out an order and returns its answer.
func (c *cloud) carryOut(o machineOrder) (status int, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.id != o.Machine {
			continue
		}
		if o.token < m.token {
			return http.StatusConflict, "fence"
		}
		m.token = o.token
		switch {
		case o.Wave != 0 && m.done[o.Wave]:
			return http.StatusOK, "done already"
		case o.Wave == 0 && m.pool == o.Pool:
			return http.StatusOK, "done already"
		case m.state != "up" || m.worker == nil || !m.worker.isUp():
			return http.StatusConflict, "busy"
		}
		if o.Wave != 0 {
			m.done[o.Wave], m.wave, m.state = true, o.Wave, "upkeep"
			c.takeAway(m, m.pool, maintenanceTime)
			c.world.upkeepBegins(m.id, c.down(o.Wave))
			return http.StatusOK, "upkeep begins"
		}
		m.state = "moving"
		c.takeAway(m, o.Pool, migrationTime)
		return http.StatusOK, "move begins"
	}
	return http.StatusBadRequest, "no such machine"
}

// down returns the machines that are down for the wave.
func (c *cloud) down(wave int64) []string {
	var ids []string
	for _, m := range c.machines {
		if m.state == "upkeep" && m.wave == wave {
			ids = append(ids, m.id)
		}
	}
	return ids
}

// takeAway ends the machine's worker, and starts another one in the pool after the given time. The lock must be held.
func (c *cloud) takeAway(m *machine, pool string, downFor time.Duration) {
	old := m.worker
	m.worker, m.pool = nil, pool
	go old.leave()
	c.lives++
	n := c.lives
	time.AfterFunc(downFor+joinDelay, func() {
		k := newWorker(c.world, n%100, pool, m.id, old.cpu)
		k.id = "i-" + strconv.Itoa(n)
		k.labels = old.labels
		c.mu.Lock()
		defer c.mu.Unlock()
		m.worker, m.state, m.wave = k, "up", 0
		c.world.note("machine %s is up again with worker %s", m.id, k.id)
	})
}
