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
	pollInterval = 20 * time.Millisecond
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

// fleet runs a stand in the test's process and each gate in a process of its own.
type fleet struct {
	t               *testing.T
	dir             string
	platformAddress string
	gates           []*gateProcess
	links           []*link
	client          *http.Client
}

type gateProcess struct {
	fleet           *fleet
	name            string
	dataCentre      string
	callerAddress   string
	operatorAddress string
	peerAddress     string
	settingsPath    string
	cmd             *exec.Cmd
	exited          chan struct{}
}

// startFleet starts the stand and one gate for each given data centre (repeated ones get several gates), and waits until
// all are ready.
func startFleet(t *testing.T, dataCentres ...string) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: t.TempDir(), platformAddress: freeAddress(t), client: &http.Client{Timeout: 30 * time.Second}}
	f.startStand()
	for i, dc := range dataCentres {
		f.gates = append(f.gates, &gateProcess{
			fleet: f, name: fmt.Sprintf("gate-%d", i+1), dataCentre: dc,
			callerAddress: freeAddress(t), operatorAddress: freeAddress(t), peerAddress: freeAddress(t),
		})
	}
	f.writeSettings()
	t.Cleanup(f.shutDown)
	for _, g := range f.gates {
		g.start()
	}
	startedAt := time.Now()
	for _, g := range f.gates {
		g.awaitReady()
	}
	t.Logf("%d gates ready after %d ms", len(f.gates), time.Since(startedAt).Milliseconds())
	return f
}

var portCounter atomic.Int32

// freeAddress returns a loopback address with a free port. The port lies below the ephemeral range, so that no outgoing
// connection takes it before a gate listens on it.
func freeAddress(t *testing.T) string {
	t.Helper()
	const firstPort, ports, portStep = 21000, 9000, 97
	for range ports {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+(int(portCounter.Add(1))+os.Getpid()*portStep)%ports)
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
		"[deployment]\ndirectory = %s\n[vm-list]\nlag = 200ms\n", f.platformAddress, deployment)
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
		resp, err := f.client.Get("http://" + f.platformAddress + "/counts")
		if err != nil {
			return false
		}
		return resp.Body.Close() == nil
	})
}

// writeSettings writes the settings file of each gate. A gate reaches the platform and the gates of other data centres
// through links of its own, so that a test can disconnect it.
func (f *fleet) writeSettings() {
	sum := sha256.Sum256([]byte(operatorKey))
	for _, g := range f.gates {
		var members []string
		for _, other := range f.gates {
			address := other.peerAddress
			if other.dataCentre != g.dataCentre {
				address = f.newLink(g, other.dataCentre, other.peerAddress)
			}
			members = append(members, fmt.Sprintf("%s/%s/%s", other.name, other.dataCentre, address))
		}
		text := fmt.Sprintf("[gate]\nname = %s\ndata-centre = %s\ncaller-address = %s\noperator-address = %s\npeer-address = %s\n"+
			"lame-duck = 1s\n[peers]\nmembers = %s\n[platform]\naddress = %s\nreport-lag = 200ms\n[operators]\nkey-hashes = %s\n",
			g.name, g.dataCentre, g.callerAddress, g.operatorAddress, g.peerAddress, strings.Join(members, ", "),
			f.newLink(g, "platform", f.platformAddress), hex.EncodeToString(sum[:]))
		g.settingsPath = filepath.Join(f.dir, g.name+".ini")
		assert.NilError(f.t, os.WriteFile(g.settingsPath, []byte(text), 0o600))
	}
}

func (f *fleet) shutDown() {
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
	const maxBytes = 3000
	for _, g := range f.gates {
		data, _ := os.ReadFile(filepath.Join(f.dir, g.name+".log"))
		f.t.Logf("%s: ...%s", g.name, data[max(0, len(data)-maxBytes):])
	}
}

func (g *gateProcess) start() {
	log, err := os.OpenFile(filepath.Join(g.fleet.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(g.fleet.t, err)
	g.cmd = exec.Command(gateBinary, "serve", "--settings", g.settingsPath, "--log-level", "1")
	g.cmd.Stderr = log
	assert.NilError(g.fleet.t, g.cmd.Start())
	g.exited = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}(g.cmd, g.exited)
}

func (g *gateProcess) kill() {
	_ = g.cmd.Process.Kill()
	<-g.exited
}

func (g *gateProcess) killAndRestart() {
	g.kill()
	g.start()
}

func (g *gateProcess) suspend() { _ = g.cmd.Process.Signal(syscall.SIGSTOP) }

func (g *gateProcess) resume() { _ = g.cmd.Process.Signal(syscall.SIGCONT) }

func (g *gateProcess) stopGracefully() {
	_ = g.cmd.Process.Signal(syscall.SIGTERM)
	<-g.exited
}

func (g *gateProcess) isReady() bool {
	resp, err := g.fleet.client.Get("http://" + g.callerAddress + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (g *gateProcess) awaitReady() {
	g.fleet.t.Helper()
	g.fleet.await(readyTimeout, g.name+" is ready", g.isReady)
}

// await polls until the condition is met and returns how long that took; it fails the test on a timeout.
func (f *fleet) await(timeout time.Duration, condition string, isMet func() bool) time.Duration {
	f.t.Helper()
	startedAt := time.Now()
	for !isMet() {
		if time.Since(startedAt) > timeout {
			f.t.Fatalf("not within %s: %s", timeout, condition)
		}
		time.Sleep(pollInterval)
	}
	return time.Since(startedAt)
}

type recordAnswer struct {
	Code    int      `json:"code"`
	Name    string   `json:"name"`
	Faults  []string `json:"faults"`
	Offset  uint64   `json:"offset"`
	InForce int      `json:"in-force"`
}

func (g *gateProcess) callOperatorAPI(method, path string, body, answer any) int {
	g.fleet.t.Helper()
	var raw bytes.Buffer
	if body != nil {
		assert.NilError(g.fleet.t, json.NewEncoder(&raw).Encode(body))
	}
	req, err := http.NewRequest(method, "http://"+g.operatorAddress+"/ops/v1"+path, &raw)
	assert.NilError(g.fleet.t, err)
	req.Header.Set("Authorization", "Bearer "+operatorKey)
	resp, err := g.fleet.client.Do(req)
	assert.NilError(g.fleet.t, err)
	defer func() { _ = resp.Body.Close() }()
	assert.NilError(g.fleet.t, json.NewDecoder(resp.Body).Decode(answer))
	return resp.StatusCode
}

type changeRequest struct {
	ID      string          `json:"id"`
	By      string          `json:"by"`
	Objects []record.Object `json:"objects"`
}

// applyDeployment applies the whole deployment, in which the given objects replace those of the same kind and name.
func (f *fleet) applyDeployment(changed ...record.Object) recordAnswer {
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
	f.gates[0].callOperatorAPI(http.MethodPost, "/changes", changeRequest{rand.Text(), "prove", objects}, &answer)
	assert.Equal(f.t, answer.Code, 0, "%v", answer)
	return answer
}

func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// createKey creates a key for the team and returns it.
func (f *fleet) createKey(team string) string {
	f.t.Helper()
	key := rand.Text()
	var answer recordAnswer
	f.gates[0].callOperatorAPI(http.MethodPost, "/keys", map[string]string{"id": rand.Text(), "team": team, "hash": hashKey(key)}, &answer)
	assert.Equal(f.t, answer.Code, 0, "%v", answer)
	return key
}

func (f *fleet) setFault(target, fault string, value int) {
	f.t.Helper()
	body := fmt.Sprintf(`{"target":%q,"fault":%q,"value":%d}`, target, fault, value)
	resp, err := f.client.Post("http://"+f.platformAddress+"/faults", "application/json", strings.NewReader(body))
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

func (f *fleet) readCounts() counts {
	f.t.Helper()
	resp, err := f.client.Get("http://" + f.platformAddress + "/counts")
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
