package root

import (
	"net"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"mangowing/core/codes"
	"mangowing/core/event"
)

const smallDeployment = `[fleet small]
data-centres = a, b

[pool p]
vms = p-[1-4]
min-serving = 1

; the only team
[team t]
organisation = o
share = 1
limit = 4

[queue q]
pool = p
teams = t

[wave w]
pools = p
min-serving = 2
pace = 2
freeze = 22:00-23:00
`

const smallConfiguration = `{
  "version": 1,
  "routes": [{"name": "plans", "host": "h", "path_prefix": "/plans/", "service": "planners", "slack_factor": 2}],
  "services": [{"name": "planners"}],
  "tenants": [
    {"name": "floor", "api_keys": ["floor-1"], "weight": 9, "cap": {"cpu": 4000}},
    {"name": "retail", "api_keys": ["retail-1"], "weight": 9, "cap": {"cpu": 4000}}
  ]
}
`

const smallStatus = `{"deployment":"small","gates":[
{"name":"a-1","data-centre":"a","incarnation":"a-1.X","address":"127.0.0.1:7003","reachable":true,"ready":true,"offset":41,"digest":7,"staleness-ms":120},
{"name":"a-2","data-centre":"a","incarnation":"a-2.X","address":"127.0.0.1:7013","reachable":true,"ready":false,"stopping":true,"offset":41,"digest":7,"staleness-ms":90},
{"name":"a-3","data-centre":"a","incarnation":"a-3.X","address":"127.0.0.1:7033","reachable":true,"ready":false,"offset":0,"digest":"0","staleness-ms":1099511627776},
{"name":"b-1","data-centre":"b","incarnation":"b-1.X","address":"127.0.0.1:7023","reachable":false,"ready":false,"offset":38,"digest":6,"staleness-ms":31000}],
"pools":[{"name":"p","min-serving":1,"serving":3,"waiting":9,"vms":[
{"name":"p-1","state":"serving","pool":"p","data-centre":"a","rack":"r1","running":5},
{"name":"p-2","state":"serving","pool":"p","data-centre":"a","rack":"r1","running":1},
{"name":"p-3","state":"serving","pool":"p","data-centre":"b","rack":"r2","running":0},
{"name":"p-4","state":"draining","pool":"p","target":"spare","data-centre":"b","rack":"r2","running":2}]},
{"name":"spare","min-serving":2,"serving":0,"vms":[]}],
"teams":[{"name":"t","organisation":"o","share":3,"limit":8,"running":6,"waiting":9,"rights-held":8,"rights-spare":2},
{"name":"u","organisation":"o","share":1,"limit":2,"running":2,"rights-held":2,"rights-spare":0},
{"name":"idle","organisation":"o","share":1,"limit":2,"running":0,"rights-held":0,"rights-spare":0}],
"lease":{"holder":"a-1.X","token":17},"log":{"reachable":true,"offset":41}}`

func wave(state string, done, out int, reason string) any {
	return map[string]any{"name": "w", "state": state, "reason": reason, "total": 4, "done": done, "out": out, "budget-left": 1}
}

func parseEvent(t *testing.T, text string) event.Event {
	var e event.Event
	assert.NilError(t, e.UnmarshalJSON([]byte(text)))
	return e
}

var sessions = []session{
	{
		testName:    "check",
		description: "An operator checks a configuration and declarations before sending them; the exit code says how serious the findings are.",
		gates:       1,
		setup: func(d *driver) {
			d.writeFile("config.json", smallConfiguration)
			d.writeFile("next.json", strings.NewReplacer(`"version": 1`, `"version": 2`, "4000", "2000", `"retail-1"`, `"floor-1"`).Replace(smallConfiguration))
			d.writeFile("wave.json", `{"wave": 3, "machines": ["m-1"], "duration_s": 4, "cap": 1}`)
			d.writeFile("machines.json", `{"machines": [{"host_machine": "m-1", "pool": "planners", "labels": ["std"], "capacity": {"cpu": 8000}},`+
				`{"host_machine": "m-2", "pool": "planners", "labels": ["gpu"], "capacity": {"cpu": 8000}}]}`)
			d.writeFile("small/all.ini", smallDeployment)
			d.writeFile("next/all.ini", strings.NewReplacer("limit = 4", "limit = 2", "teams = t", "").Replace(smallDeployment))
			d.writeFile("broken/all.ini", smallDeployment+"[pool p]\n")
		},
		steps: func(d *driver) {
			d.run("check DIR/config.json --machines DIR/machines.json --label gpu --wave DIR/wave.json --maintenance 4s")
			d.run("check DIR/next.json --in-force DIR/config.json")
			d.run("check DIR/next.json --in-force DIR/config.json --output json")
			d.run("check DIR/config.json --in-force DIR/next.json")
			d.run("check DIR/config.json --machines DIR/machines.json --label gpu --label planners/ssd --wave DIR/wave.json --maintenance 5s")
			d.run("check DIR/config.json --task cpu=5000,time=1s")
			d.runWithInput("check -", `{"version": 1, "serves": []}`)
			d.run("check DIR/next --in-force DIR/small")
			d.run("check DIR/broken --output json")
			d.comment("Wrong usage.")
			d.run("check DIR/none")
			d.run("check DIR/small --in-force DIR/config.json")
			d.run("check DIR/small --wave DIR/wave.json")
			d.run("check DIR/config.json --slots 4")
			d.run("check DIR/config.json --label gpu")
			d.run("check DIR/config.json --task disk=4")
			d.runWithInput("check -", strings.Repeat(" ", 5<<20))
			d.comment("Completion offers files for the path and for the flags that name one.")
			d.run("__complete check DIR/con")
			d.run("__complete check DIR/config.json DIR/")
			d.run("__complete check --in-force DIR/con")
			d.run("__complete check --task c")
		},
	},
	{
		testName:    "apply",
		description: "An operator checks, compares and applies a directory, changes it and applies it again.",
		gates:       2,
		setup:       func(d *driver) { d.copyDeployment("vlnka") },
		steps: func(d *driver) {
			d.run("validate DIR/vlnka")
			d.run(`apply DIR/vlnka --note "first"`)
			d.run("diff DIR/vlnka")
			d.writeFile("vlnka/open.ini", "")
			d.run("diff DIR/vlnka")
			d.run("diff DIR/vlnka --output json")
			d.run(`apply DIR/vlnka --note "close the price list" --output json`)
			d.run("apply DIR/vlnka")
			d.run("history")
		},
	},
	{
		testName:    "refusals",
		description: "Clashes list every fault, a late operator is told who was first, wrong usage names what was expected.",
		gates:       2,
		setup:       func(d *driver) { d.writeFile("small/all.ini", smallDeployment) },
		steps: func(d *driver) {
			d.run("apply DIR/small")
			d.writeFile("clash/all.ini", smallDeployment+"\n[pool x]\nvms = p-2\n\n[queue r]\n\n[team u]\norganisation = o\nshare = 0\nlimit = -1\n")
			d.run("validate DIR/clash")
			d.run("apply DIR/clash")
			d.run("apply DIR/none")
			d.comment("Another operator's change arrives between this one's look and its change.")
			d.fleet.refuseWith = map[int]codes.Code{}
			d.writeFile("small/all.ini", strings.Replace(smallDeployment, "limit = 4", "limit = 5", 1))
			d.fleet.conflictWithNextChange()
			d.run("apply DIR/small")
			d.run("key gruant t")
			d.run("apply")
			d.run("status --output xml")
			d.run("wave status -f")
			d.writeFile("mango.ini", "[operator]\ngate = 127.0.0.1:1\n")
			d.run("status")
			d.writeFile("mango.ini", "[operator]\ngates = 10.1.2.3:7002\nkey-file = "+d.path("operator.key")+"\n")
			d.run("status")
			d.writeFile("mango.ini", "")
			d.run("status")
		},
	},
	{
		testName:    "keys",
		description: "A key is granted, shown once, listed by its hash, and withdrawn by a prefix of it.",
		gates:       1,
		setup:       func(d *driver) { d.writeFile("small/all.ini", smallDeployment) },
		steps: func(d *driver) {
			d.run("apply DIR/small")
			d.run(`key grant t --label "order desk"`)
			d.run("key grant t --key-file DIR/t.key")
			d.run("key grant nobody")
			d.run("key list")
			d.run("key withdraw ffff")
			d.run("key withdraw 5749")
			d.run("key list --output json")
		},
	},
	{
		testName:    "team",
		description: "A new team answers the questionnaire, later changes an answer, and both are shown before they are written.",
		gates:       1,
		setup:       func(d *driver) { d.copyDeployment("vlnka") },
		steps: func(d *driver) {
			d.runWithInput("team new bakers --dir DIR/vlnka", "bakery\nquotes on quotes\n0\n2\n12\nurgent\n\n\nyes\n-\n20:30-22:00\nno\n")
			d.runWithInput("team new bakers --dir DIR/vlnka", "bakery\nquotes on quotes\n2\n12\nurgent\n\n\nyes\n\n20:30-22:00\nyes\n")
			d.printFile("vlnka/answers/bakers.ini")
			d.run("team show bakers --dir DIR/vlnka")
			d.run("team set bakers limit=16 freeze= --dir DIR/vlnka --yes")
			d.run("team set bakers limit=none --dir DIR/vlnka")
			d.run("team set bakres limit=1 --dir DIR/vlnka")
			d.run("team new bakers --dir DIR/vlnka")
			d.run("team new bakery --dir DIR/vlnka --answers DIR/vlnka/answers/bakers.ini")
			d.printFile("vlnka/waves.ini")
			d.run("validate DIR/vlnka")
		},
	},
	{
		testName:    "hessian",
		description: "Hessian Loop brings its declarations into force, then has reconciliation end earlier and widens the freeze.",
		gates:       3,
		setup:       func(d *driver) { d.copyDeployment("hessian") },
		steps: func(d *driver) {
			d.run(`apply DIR/hessian --note "first"`)
			d.run("key grant freight --key-file DIR/freight.key")
			d.run("team set reconciliation latest-finish=17:30 --dir DIR/hessian --yes")
			d.run(`team set freight "freeze=15:00-21:00" --dir DIR/hessian --yes`)
			d.run("diff DIR/hessian")
			d.run(`apply DIR/hessian --note "earlier dispatch"`)
			d.run("team set photos work= --dir DIR/hessian --yes")
			d.run(`team set photos "work=inspection-photos on admin" --dir DIR/hessian --yes`)
			d.run(`apply DIR/hessian --note "photos to admin"`)
			d.run("key withdraw 57491b")
			d.run("history")
		},
	},
	{
		testName:    "fleet",
		description: "An operator looks at gates, pools, VMs, teams and a job.",
		gates:       1,
		setup:       func(d *driver) { d.fleet.status = smallStatus },
		steps: func(d *driver) {
			d.run("status")
			d.run("pool")
			d.run("pool p")
			d.run("pool q")
			d.run("vm p-4 --output json")
			d.writeFile("order.json", "{}")
			d.run("job submit reprints DIR/order.json")
			d.run("job status JOB7")
			d.run("codes 201")
		},
	},
	{
		testName:    "waves",
		description: "A wave is planned, started and followed, on a terminal and without one.",
		gates:       1,
		setup: func(d *driver) {
			d.writeFile("small/all.ini", smallDeployment)
			d.fleet.status = smallStatus
			d.fleet.waves = []any{
				wave("running", 0, 1, ""), wave("running", 2, 2, ""), wave("paused", 2, 1, "2 VMs did not come back"),
				wave("running", 3, 1, ""), wave("done", 4, 0, ""),
			}
		},
		steps: func(d *driver) {
			d.run("apply DIR/small")
			d.run("wave plan w")
			d.run("wave plan v")
			d.run("wave start w --follow")
			d.run("wave pause w")
			d.terminal = true
			d.run("wave resume w -f")
			d.run("wave status")
			d.run("wave cancel w")
			d.run("wave pause w")
		},
	},
}

func TestSessionsMatchGoldenFiles(t *testing.T) {
	for _, s := range sessions {
		t.Run(s.testName, func(t *testing.T) {
			t.Parallel()
			runSession(t, s)
		})
	}
}

func TestTimelineIsOrderedByTimestamp(t *testing.T) {
	runSession(t, session{
		testName: "timeline", description: "Events of several gates stand in the order of their stamps.", gates: 1,
		setup: func(d *driver) {
			for _, text := range []string{
				`{"stamp":111411200000000002,"process":"b-1","kind":"request-started","request":"R1","team":"t","vm":"p-1"}`,
				`{"stamp":111411200000000001,"process":"a-1","kind":"request-received","request":"R1","team":"t"}`,
				`{"stamp":111411200000000009,"process":"a-1","kind":"request-refused","request":"R2","team":"t","code":201,"detail":"limit 4"}`,
			} {
				d.fleet.events = append(d.fleet.events, parseEvent(t, text))
			}
		},
		steps: func(d *driver) {
			d.run("timeline --since 5m --team t")
			d.run("timeline --request R1 --output json")
		},
	})
}

func TestLostReplyIsRetriedWithSameID(t *testing.T) {
	d := newDriver(t, 2)
	d.writeFile("small/all.ini", smallDeployment)
	d.fleet.dropReplies[0] = true
	d.run("apply DIR/small")
	assert.Equal(t, d.lastOutput, "in force at 8 of 8 gates, slowest cz-c-2 after 12 ms\n")
	assert.Equal(t, len(d.fleet.writeBodies), 2)
	assert.Equal(t, d.fleet.writeBodies[0], d.fleet.writeBodies[1])
	assert.Equal(t, len(d.fleet.state.Publish().History()), 1)
}

func TestExitCodeWhenGatesFail(t *testing.T) {
	scenarios := []struct {
		testName string
		fault    func(t *testing.T, f *fakeFleet)
		exit     string
		expected string
	}{
		{"all down", func(t *testing.T, f *fakeFleet) { shutDown(t, f.servers[0]); shutDown(t, f.servers[1]) }, "(exit code 3)", "nothing was changed"},
		{"all lose answers", func(_ *testing.T, f *fakeFleet) { f.dropReplies[0], f.dropReplies[1] = true, true }, "(exit code 3)", "refuse the key already"},
		{"log down", func(_ *testing.T, f *fakeFleet) {
			f.refuseWith[0], f.refuseWith[1] = codes.LogUnavailable, codes.LogUnavailable
		}, "(exit code 1)", "402 log-unavailable"},
		{"one not ready", func(_ *testing.T, f *fakeFleet) { f.refuseWith[0] = codes.GateNotReady }, "in force", "in force at 8 of 8"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			t.Parallel()
			d := newDriver(t, 2)
			s.fault(t, d.fleet)
			d.run("key withdraw " + strings.Repeat("ab", 32))
			assert.Assert(t, strings.Contains(d.transcript.String(), s.exit), d.transcript.String())
			assert.Assert(t, strings.Contains(d.lastOutput, s.expected), d.lastOutput)
		})
	}
}

// shutDown closes the server and keeps its port, so that calls to it are refused: a port that is given back may be given to another
// program's listener while the test goes on calling it.
func shutDown(t *testing.T, server *httptest.Server) {
	address := server.Listener.Addr().(*net.TCPAddr)
	server.Close()
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = syscall.Close(socket) })
	assert.NilError(t, syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1))
	assert.NilError(t, syscall.Bind(socket, &syscall.SockaddrInet4{Port: address.Port, Addr: [4]byte(address.IP.To4())}))
	// From here on no listener may share the address.
	assert.NilError(t, syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 0))
}

func TestShutDownServerRefusesConnections(t *testing.T) {
	server := httptest.NewServer(nil)
	address := server.Listener.Addr().String()
	shutDown(t, server)
	_, err := net.Dial("tcp", address)
	assert.ErrorIs(t, err, syscall.ECONNREFUSED)
	_, err = net.Listen("tcp", address)
	assert.ErrorIs(t, err, syscall.EADDRINUSE)
}

func TestGrantedKeyIsNotSentToGates(t *testing.T) {
	d := newDriver(t, 1)
	d.writeFile("small/all.ini", smallDeployment)
	d.run("apply DIR/small")
	d.run("key grant t --output json")
	const key = "YWFhYWFhYWFhYWFhYWFhYWFhYWFhYWFhYWFhYWFhYWE"
	assert.Assert(t, strings.Contains(d.lastOutput, key), d.lastOutput)
	for _, body := range d.fleet.writeBodies {
		assert.Assert(t, !strings.Contains(body, key), body)
	}
}
