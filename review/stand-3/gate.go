package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	settingsVariable = "MANGOWING_NODE_FILE"
	zoneName         = "hall-a"
	memoryMB         = 284
)

// gate is a process of the project, started by the command of the deploy file.
type gate struct {
	world   *world
	name    string
	ip      string
	callers string
	ready   string
	file    string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	closed  bool // it is not started any more
}

func newGate(w *world, n int, logAddress, cloudAddress string) *gate {
	ip := w.host(n)
	g := &gate{world: w, name: fmt.Sprintf("edge-%s-%d", zoneName, n), ip: ip}
	ports := freePorts(ip, 4)
	g.callers, g.ready = net.JoinHostPort(ip, strconv.Itoa(ports[0])), net.JoinHostPort(ip, strconv.Itoa(ports[1]))
	g.file = filepath.Join(w.dir, g.name+".ini")
	template, err := os.ReadFile("deploy/gate.ini")
	check(err)
	settings := fill(string(template), map[string]string{
		"node_name": g.name, "zone": zoneName, "ip": ip, "listen_addresses.frontend": g.callers, "listen_addresses.ready": g.ready,
		"internal_port_range.0": strconv.Itoa(ports[2]), "internal_port_range.1": strconv.Itoa(ports[3]), "commands": "invocation",
		"limits.memory_mb": strconv.Itoa(memoryMB), "limits.cpu_share": "0.4", "limits.max_fds": "4100", "bounds.grace_s": "6",
		"platform.address": logAddress, "platform.record_bytes": "262144", "platform.parts": "24",
		"cloud_api.address": cloudAddress, "cloud_api.duty_per_s": "64", "recommendation": "",
		"bounds.remote_factor": "3", "bounds.maintenance_s": "2", "bounds.migration_s": "1.5", "bounds.stop_timeout_ms": "400",
		"bounds.hold_max_ms": "6000",
	})
	check(os.WriteFile(g.file, []byte(settings), 0o600))
	return g
}

// freePorts returns ports on which nothing listens at the address.
func freePorts(ip string, n int) []int {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		check(err)
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([a-z_.0-9]+)\}\}(.*?)\{\{/[a-z_.0-9]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
)

// fill fills a template of the deploy file, as far as deploy/gate.ini uses its forms.
func fill(template string, values map[string]string) string {
	template = section.ReplaceAllStringFunc(template, func(text string) string {
		parts := section.FindStringSubmatch(text)
		value, found := values[parts[1]]
		if !found {
			return ""
		}
		return strings.ReplaceAll(parts[2], "{{.}}", value)
	})
	return placeholder.ReplaceAllStringFunc(template, func(text string) string { return values[placeholder.FindStringSubmatch(text)[1]] })
}

// command returns the words of the deploy file's run command.
func command() []string {
	file, err := os.ReadFile("deploy/system.toml")
	check(err)
	run := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(file)
	if run == nil {
		check(errors.New("deploy/system.toml has no run command"))
	}
	return strings.Fields(string(run[1]))
}

func (g *gate) start() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	words := command()
	out, err := os.OpenFile(filepath.Join(g.world.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	process := exec.Command(words[0], words[1:]...)
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), settingsVariable + "=" + g.file}
	process.Stdout, process.Stderr = out, out
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(process.Start())
	exited := make(chan struct{})
	g.process, g.exited = process, exited
	go func() {
		_ = process.Wait()
		_ = out.Close()
		close(exited)
	}()
}

// kill ends the process at once.
func (g *gate) kill() {
	g.mu.Lock()
	process, exited := g.process, g.exited
	g.process = nil
	g.mu.Unlock()
	if process != nil {
		_ = process.Process.Kill()
		<-exited
	}
}

// close ends the process for good.
func (g *gate) close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.kill()
}

// memory returns the resident memory of the process in megabytes, 0 if it doesn't run.
func (g *gate) memory() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process == nil {
		return 0
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.process.Process.Pid))
	if err != nil {
		return 0
	}
	found := regexp.MustCompile(`VmRSS:\s+(\d+) kB`).FindSubmatch(status)
	if found == nil {
		return 0
	}
	kb, _ := strconv.Atoi(string(found[1]))
	return kb >> 10
}

func (g *gate) isReady() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + g.ready + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// log returns what the process has written.
func (g *gate) log() string {
	text, _ := os.ReadFile(filepath.Join(g.world.dir, g.name+".log"))
	return string(text)
}

// isOwner reports whether the gate's log says that it is the owner of the scheduler.
func (g *gate) isOwner() bool {
	text := g.log()
	return strings.LastIndex(text, `"takeover"`) > strings.LastIndex(text, `"ownership-ended"`)
}
