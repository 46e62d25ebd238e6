package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	zone       = "qld-se-a"
	host       = "rapu30.example"
	service    = "pricing"
	grace      = 6 * time.Second
	callerWait = 3 * time.Second
)

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		os.Exit(2)
	}
}

// deployment is a small deployment: gates as processes of their own, a log, workers and the list of machines.
type deployment struct {
	dir     string
	binary  string
	log     *logServer
	book    *book
	gates   []*gate
	workers []*worker
	cloud   string
	advisor *advisor // nil if no queue asks for advice
}

func newDeployment(gates, workers, cpu, mem int) *deployment {
	return newAdvisedDeployment(gates, workers, cpu, mem, nil)
}

// newAdvisedDeployment returns a deployment whose queue batches asks the advisor, if there is one.
func newAdvisedDeployment(gates, workers, cpu, mem int, a *advisor) *deployment {
	binary, err := filepath.Abs(os.Getenv("MANGOWING"))
	check(err)
	dir, err := os.MkdirTemp("", "review-")
	check(err)
	d := &deployment{dir: dir, binary: binary, log: newLogServer(), book: newBook(os.Getenv("RECORD")), advisor: a}
	d.configure(1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	go func() { _ = (&http.Server{Handler: d.log}).Serve(listener) }()
	cloud, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	d.cloud = cloud.Addr().String()
	go func() { _ = (&http.Server{Handler: http.HandlerFunc(d.serveMachines)}).Serve(cloud) }()
	if a != nil {
		a.serve()
	}
	for n := range workers {
		d.workers = append(d.workers, newWorker(d, fmt.Sprintf("w%05x-1", 4099*(n+1)), fmt.Sprintf("m-%d", n+1), service, cpu, mem))
	}
	for n := range gates {
		d.gates = append(d.gates, newGate(d, n+1, listener.Addr().String()))
	}
	return d
}

// configure writes a version of the configuration: two routes of one service, two tenants.
func (d *deployment) configure(version int) {
	route := func(name string) map[string]any {
		return map[string]any{"name": name, "host": host, "path_prefix": "/" + name + "/", "service": service, "timeout_ms": 3000,
			"priority": 0, "max_attempts": 2, "slack_factor": 1.6, "target_latency_ms": 600}
	}
	batches := route("batches")
	if d.advisor != nil {
		batches["recommendation"] = map[string]any{"decision_ms": decisionTime.Milliseconds(), "period_ms": periodTime.Milliseconds(),
			"validity_ms": validity.Milliseconds()}
	}
	tenant := func(name string) map[string]any {
		return map[string]any{"name": name, "api_keys": []string{"key-" + name}, "weight": 1000,
			"cap": map[string]int{"cpu": 0, "mem_mb": 0, "gpu": 0}}
	}
	cfg := map[string]any{"version": version, "routes": []any{route("quotes"), batches},
		"services": []any{map[string]any{"name": service, "enforces_capacity": true}},
		"tenants":  []any{tenant("roasters"), tenant("growers")}, "limits": map[string]any{"max_body_bytes": 262144}}
	raw, _ := json.Marshal(cfg)
	d.log.put("op", "config", raw)
}

func (d *deployment) serveMachines(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/machines" {
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "busy"})
		return
	}
	machines := []any{}
	for _, x := range d.workers {
		machines = append(machines, map[string]any{"host_machine": x.machine, "pool": x.service, "state": "up", "zone": zone,
			"labels": []string{"a", "r1"}, "capacity": map[string]int{"cpu": x.cpu, "mem_mb": x.mem}, "id": x.id})
	}
	writeJSON(w, http.StatusOK, map[string]any{"machines": machines, "next_token": ""})
}

// gate is a process of the project: target/mangowing serve.
type gate struct {
	d      *deployment
	name   string
	file   string
	caller string
	ready  string
	store  *proxy
	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// freePort returns a port on which nobody listens, below those that the system gives to outgoing connections.
func freePort() int {
	for {
		port := 12000 + rand.IntN(18000)
		if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			_ = l.Close()
			return port
		}
	}
}

func newGate(d *deployment, n int, logAddress string) *gate {
	g := &gate{d: d, name: fmt.Sprintf("edge-%d", n), file: filepath.Join(d.dir, fmt.Sprintf("edge-%d.ini", n)), store: newProxy(logAddress)}
	g.caller, g.ready = fmt.Sprintf("127.0.0.1:%d", freePort()), fmt.Sprintf("127.0.0.1:%d", freePort())
	// deploy/gate.ini with its placeholders filled in.
	settings := fmt.Sprintf(`[gate]
name = %s
data-centre = %s
ip = 127.0.0.1
caller-address = %s
ready-address = %s
peer-port = %d
metrics-port = %d
orders = invocation
memory-mb = 284
processor = 0.4
grace = 6s

[platform]
log = %s
machines = %s
machine-orders = 64
advisor = %s

[bounds]
maintenance = 2s
migration = 1.5s
stop-limit = 200ms
`, g.name, zone, g.caller, g.ready, freePort(), freePort(), g.store.address(), d.cloud, d.advisor.address())
	check(os.WriteFile(g.file, []byte(settings), 0o600))
	return g
}

func (g *gate) start() {
	out, err := os.OpenFile(filepath.Join(g.d.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	cmd := exec.Command(g.d.binary, "serve")
	cmd.Env = append(os.Environ(), "MANGOWING_NODE_FILE="+g.file)
	cmd.Stdout, cmd.Stderr = out, out
	check(cmd.Start())
	exited := make(chan struct{})
	g.mu.Lock()
	g.cmd, g.exited = cmd, exited
	g.mu.Unlock()
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		g.d.book.note("%s ends: %v", g.name, err)
		close(exited)
	}()
}

func (g *gate) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd != nil {
		g.d.book.note("%s gets %v", g.name, s)
		_ = g.cmd.Process.Signal(s)
	}
}

func (g *gate) kill() {
	g.signal(syscall.SIGKILL)
	<-g.exited
}

// begin starts all gates and waits until they are ready, as the traffic starts 10 s after the machines.
func (d *deployment) begin() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		d.finish()
		os.Exit(2)
	}()
	for _, g := range d.gates {
		g.start()
	}
	limit := time.Now().Add(15 * time.Second)
	for _, g := range d.gates {
		for !g.isReady() {
			if time.Now().After(limit) {
				d.finish()
				check(fmt.Errorf("%s isn't ready", g.name))
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	for d.owner() == nil {
		if time.Now().After(limit) {
			d.finish()
			check(fmt.Errorf("no gate schedules"))
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(time.Second)
	d.book.note("all gates are ready, %s schedules", d.owner().name)
}

func (g *gate) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + g.ready + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// owner returns the gate whose claim is the last one on the log.
func (d *deployment) owner() *gate {
	d.log.mu.Lock()
	defer d.log.mu.Unlock()
	t := d.log.topic("owner")
	for i := len(t.records) - 1; i >= 0; i-- {
		var r struct {
			Kind string `json:"kind"`
			Name string `json:"name"`
		}
		if json.Unmarshal(t.records[i], &r) == nil && r.Kind == "claim" {
			for _, g := range d.gates {
				if g.name == r.Name {
					return g
				}
			}
		}
	}
	return nil
}

// finish ends all processes that the case has started, and keeps their logs if KEEP names a folder.
func (d *deployment) finish() {
	for _, g := range d.gates {
		g.mu.Lock()
		cmd, exited := g.cmd, g.exited
		g.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Signal(syscall.SIGCONT)
			_ = cmd.Process.Signal(syscall.SIGKILL)
			<-exited
		}
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.MkdirAll(keep, 0o755)
		for _, g := range d.gates {
			if raw, err := os.ReadFile(filepath.Join(d.dir, g.name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(keep, g.name+".log"), raw, 0o644)
			}
		}
	}
	_ = os.RemoveAll(d.dir)
}

// call makes a caller's call and returns status 0 if there was no answer.
func (d *deployment) call(g *gate, method, path, key string, body any) (int, []byte) {
	var raw []byte
	if body != nil {
		raw, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callerWait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+g.caller+path, bytes.NewReader(raw))
	check(err)
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Mangowing-Credential", key)
	r.Header.Set("Mangowing-Deadline-Ms", strconv.Itoa(int(callerWait.Milliseconds())))
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// submit hands a job in. After no answer, a 502, 503, 504 or 429 it tries again, up to four times, at the next gate.
func (d *deployment) submit(first int, queue, key string, j *job) bool {
	d.book.addJob(j)
	for n := range 5 {
		g := d.gates[(first+n)%len(d.gates)]
		status, _ := d.call(g, http.MethodPost, "/"+queue+"/"+j.ID, key, j)
		d.book.note("submit   %s by %s at %s: %d", j.ID, key, g.name, status)
		if status/100 == 2 {
			d.book.mu.Lock()
			j.acceptedAt = time.Now()
			d.book.mu.Unlock()
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for a job's state at each gate in turn until one answers.
func (d *deployment) state(queue, key string, j *job) string {
	answer := "no answer"
	for _, g := range d.gates {
		status, raw := d.call(g, http.MethodGet, "/"+queue+"/"+j.ID, key, nil)
		if status == http.StatusOK {
			var s struct {
				State string `json:"state"`
			}
			_ = json.Unmarshal(raw, &s)
			return s.State
		}
		answer = strings.TrimSpace("status " + strconv.Itoa(status))
	}
	return answer
}

func newID(n int) string { return fmt.Sprintf("%016x", uint64(n)*0x9e3779b97f4a7c15) }
