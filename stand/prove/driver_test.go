package prove

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/core/decl"
	"mangowing/core/record"
	"mangowing/stand/serve"
)

const (
	operatorKey  = "operator-key-of-the-proofs"
	deployment   = "../../deploy/vlnka"
	readyTimeout = 15 * time.Second
	checkPeriod  = 20 * time.Millisecond
)

var gateBinary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "prove")
	if err != nil {
		panic(err)
	}
	gateBinary = filepath.Join(dir, "gate")
	if out, err := exec.Command("go", "build", "-o", gateBinary, "mangowing/gate").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// fleet drives a stand in this process and gates as processes of their own.
type fleet struct {
	t        *testing.T
	dir      string
	platform string
	gates    []*gateProcess
	links    []*link
	client   *http.Client
}

type gateProcess struct {
	fleet      *fleet
	name       string
	dataCentre string
	caller     string
	operator   string
	peer       string
	settings   string
	cmd        *exec.Cmd
	done       chan struct{}
}

// startFleet starts the stand and one gate for each data centre named, and waits until all are ready.
func startFleet(t *testing.T, dataCentres ...string) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: t.TempDir(), platform: freeAddress(t), client: &http.Client{Timeout: 30 * time.Second}}
	f.startStand()
	for i, dc := range dataCentres {
		f.gates = append(f.gates, &gateProcess{
			fleet: f, name: fmt.Sprintf("gate-%d", i+1), dataCentre: dc,
			caller: freeAddress(t), operator: freeAddress(t), peer: freeAddress(t),
		})
	}
	f.writeSettings()
	t.Cleanup(f.end)
	for _, g := range f.gates {
		g.start()
	}
	begun := time.Now()
	for _, g := range f.gates {
		g.awaitReady()
	}
	t.Logf("%d gates ready after %d ms", len(f.gates), time.Since(begun).Milliseconds())
	return f
}

var nextPort atomic.Int32

// freeAddress returns an address below the range that the system gives to outgoing connections.
func freeAddress(t *testing.T) string {
	t.Helper()
	const firstPort, ports, portStep = 21000, 9000, 97
	for range ports {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+(int(nextPort.Add(1))+os.Getpid()*portStep)%ports)
		l, err := net.Listen("tcp", address)
		if err == nil {
			_ = l.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

func (f *fleet) startStand() {
	settings := serve.DefaultSettings()
	text := fmt.Sprintf("[platform]\naddress = %s\n[workers]\nfirst-port = 0\nusage-lag = 100ms\nreboot-time = 300ms\n"+
		"[deployment]\ndirectory = %s\n[vm-list]\nlag = 200ms\n", f.platform, deployment)
	path := filepath.Join(f.dir, "stand.ini")
	assert.NilError(f.t, os.WriteFile(path, []byte(text), 0o600))
	assert.NilError(f.t, settings.Bind().Load(path))
	stand, err := serve.New(settings)
	assert.NilError(f.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = stand.Run(ctx)
		close(done)
	}()
	f.t.Cleanup(func() {
		cancel()
		<-done
	})
	f.await(readyTimeout, "the stand answers", func() bool {
		resp, err := f.client.Get("http://" + f.platform + "/counts")
		if err != nil {
			return false
		}
		return resp.Body.Close() == nil
	})
}

// writeSettings gives each gate its own link to the platform and to each gate of another data centre, so that it can be cut off.
func (f *fleet) writeSettings() {
	sum := sha256.Sum256([]byte(operatorKey))
	for _, g := range f.gates {
		var members []string
		for _, other := range f.gates {
			address := other.peer
			if other.dataCentre != g.dataCentre {
				address = f.newLink(g, other.dataCentre, other.peer)
			}
			members = append(members, fmt.Sprintf("%s/%s/%s", other.name, other.dataCentre, address))
		}
		text := fmt.Sprintf("[gate]\nname = %s\ndata-centre = %s\ncaller-address = %s\noperator-address = %s\npeer-address = %s\n"+
			"lame-duck = 1s\n[peers]\nmembers = %s\n[platform]\naddress = %s\nreport-lag = 200ms\n[operators]\nkey-hashes = %s\n",
			g.name, g.dataCentre, g.caller, g.operator, g.peer, strings.Join(members, ", "),
			f.newLink(g, "platform", f.platform), hex.EncodeToString(sum[:]))
		g.settings = filepath.Join(f.dir, g.name+".ini")
		assert.NilError(f.t, os.WriteFile(g.settings, []byte(text), 0o600))
	}
}

func (f *fleet) end() {
	for _, g := range f.gates {
		g.kill()
	}
	for _, l := range f.links {
		l.close()
	}
	if f.t.Failed() {
		f.printLogs()
	}
}

func (f *fleet) printLogs() {
	const most = 3000
	for _, g := range f.gates {
		data, _ := os.ReadFile(filepath.Join(f.dir, g.name+".log"))
		f.t.Logf("%s: ...%s", g.name, data[max(0, len(data)-most):])
	}
}

func (g *gateProcess) start() {
	log, err := os.OpenFile(filepath.Join(g.fleet.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(g.fleet.t, err)
	g.cmd = exec.Command(gateBinary, "serve", "--settings", g.settings, "--log-level", "1")
	g.cmd.Stderr = log
	assert.NilError(g.fleet.t, g.cmd.Start())
	g.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}(g.cmd, g.done)
}

func (g *gateProcess) kill() {
	_ = g.cmd.Process.Kill()
	<-g.done
}

func (g *gateProcess) replace() {
	g.kill()
	g.start()
}

func (g *gateProcess) freeze() { _ = g.cmd.Process.Signal(syscall.SIGSTOP) }

func (g *gateProcess) thaw() { _ = g.cmd.Process.Signal(syscall.SIGCONT) }

func (g *gateProcess) stopPlanned() {
	_ = g.cmd.Process.Signal(syscall.SIGTERM)
	<-g.done
}

func (g *gateProcess) ready() bool {
	resp, err := g.fleet.client.Get("http://" + g.caller + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (g *gateProcess) awaitReady() {
	g.fleet.t.Helper()
	g.fleet.await(readyTimeout, g.name+" is ready", g.ready)
}

// await checks until the condition holds and fails the test when it does not within the limit.
func (f *fleet) await(limit time.Duration, what string, holds func() bool) time.Duration {
	f.t.Helper()
	begun := time.Now()
	for !holds() {
		if time.Since(begun) > limit {
			f.t.Fatalf("not within %s: %s", limit, what)
		}
		time.Sleep(checkPeriod)
	}
	return time.Since(begun)
}

type recordAnswer struct {
	Code    int      `json:"code"`
	Name    string   `json:"name"`
	Faults  []string `json:"faults"`
	Offset  uint64   `json:"offset"`
	InForce int      `json:"in-force"`
}

func (g *gateProcess) operate(method, path string, body, answer any) int {
	g.fleet.t.Helper()
	var raw bytes.Buffer
	if body != nil {
		assert.NilError(g.fleet.t, json.NewEncoder(&raw).Encode(body))
	}
	req, err := http.NewRequest(method, "http://"+g.operator+"/ops/v1"+path, &raw)
	assert.NilError(g.fleet.t, err)
	req.Header.Set("Authorization", "Bearer "+operatorKey)
	resp, err := g.fleet.client.Do(req)
	assert.NilError(g.fleet.t, err)
	defer func() { _ = resp.Body.Close() }()
	assert.NilError(g.fleet.t, json.NewDecoder(resp.Body).Decode(answer))
	return resp.StatusCode
}

type changeBody struct {
	ID      string          `json:"id"`
	By      string          `json:"by"`
	Objects []record.Object `json:"objects"`
}

// apply brings the whole deployment in force and changes the given fields of its sections.
func (f *fleet) apply(changed ...record.Object) recordAnswer {
	f.t.Helper()
	objects, err := decl.ReadDirectory(deployment)
	assert.NilError(f.t, err)
	for _, c := range changed {
		for i, o := range objects {
			if o.Kind() == c.Kind() && o.Name() == c.Name() {
				objects[i] = c
			}
		}
	}
	var answer recordAnswer
	f.gates[0].operate(http.MethodPost, "/changes", changeBody{rand.Text(), "prove", objects}, &answer)
	assert.Equal(f.t, answer.Code, 0, "%v", answer)
	return answer
}

func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// grant returns a new key of the team.
func (f *fleet) grant(team string) string {
	f.t.Helper()
	key := rand.Text()
	var answer recordAnswer
	f.gates[0].operate(http.MethodPost, "/keys", map[string]string{"id": rand.Text(), "team": team, "hash": hashOf(key)}, &answer)
	assert.Equal(f.t, answer.Code, 0, "%v", answer)
	return key
}

func (f *fleet) fault(target, fault string, value int) {
	f.t.Helper()
	body := fmt.Sprintf(`{"target":%q,"fault":%q,"value":%d}`, target, fault, value)
	resp, err := f.client.Post("http://"+f.platform+"/faults", "application/json", strings.NewReader(body))
	assert.NilError(f.t, err)
	_ = resp.Body.Close()
	assert.Equal(f.t, resp.StatusCode, http.StatusOK)
}

type counts struct {
	Totals struct {
		Started  int `json:"started"`
		Finished int `json:"finished"`
		Cut      int `json:"cut"`
	} `json:"totals"`
	Teams []struct {
		Team        string `json:"team"`
		Running     int    `json:"running"`
		MostRunning int    `json:"most-running"`
	} `json:"teams"`
	TwoPools []json.RawMessage `json:"two-pools"`
	Leaving  []struct {
		VM       string `json:"vm"`
		Starts   int    `json:"starts"`
		LatestMs int64  `json:"latest-ms"`
	} `json:"leaving"`
	Works []struct {
		ID     string   `json:"id"`
		Starts int      `json:"starts"`
		VMs    []string `json:"vms"`
	} `json:"works"`
}

func (f *fleet) counts() counts {
	f.t.Helper()
	resp, err := f.client.Get("http://" + f.platform + "/counts")
	assert.NilError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	var c counts
	assert.NilError(f.t, json.NewDecoder(resp.Body).Decode(&c))
	return c
}

func (c counts) starts(work string) int {
	for _, w := range c.Works {
		if w.ID == work {
			return w.Starts
		}
	}
	return 0
}

func (c counts) mostRunning(team string) int {
	for _, t := range c.Teams {
		if t.Team == team {
			return t.MostRunning
		}
	}
	return 0
}
