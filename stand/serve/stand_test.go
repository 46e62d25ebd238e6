package serve

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/fs"
	"gotest.tools/v3/golden"
)

const declarations = `[fleet f]
data-centres = a, b
[pool pours]
vms = a-[1-6], x-1, x-2
[pool quotes]
vms = b-1
[queue pour]
pool = pours
`

func newTestStand(t *testing.T, text string) (*Stand, error) {
	t.Helper()
	dir := fs.NewDir(t, "declarations", fs.WithFile("fleet.ini", text))
	settings := DefaultSettings()
	path := dir.Join("fleet.ini")
	err := settings.Bind().Parse(path, []byte("[platform]\naddress = 127.0.0.1:0\n[deployment]\ndirectory = "+dir.Path()+
		"\n[workers]\nfirst-port = 0\n"))
	assert.NilError(t, err)
	return New(settings)
}

func call(t *testing.T, handler http.Handler, method, target, body string) (int, string) {
	t.Helper()
	server := httptest.NewServer(handler)
	defer server.Close()
	req, err := http.NewRequestWithContext(t.Context(), method, server.URL+target, strings.NewReader(body))
	assert.NilError(t, err)
	resp, err := server.Client().Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.TrimSpace(string(text))
}

func TestFaultSwitches(t *testing.T) {
	scenarios := []struct {
		testName       string
		body           string
		expectedStatus int
		expectedText   string
		then           string
		expectedThen   int
	}{
		{"log down", `{"target":"log","fault":"down","value":1}`, 200, "{}", "/log/s/read?from=1", 0},
		{"VM list still up", `{"target":"log","fault":"down","value":1}`, 200, "{}", "/vms?since=0", 200},
		{"VM list down", `{"target":"vm-list","fault":"down","value":1}`, 200, "{}", "/vms?since=0", 0},
		{"log still up", `{"target":"vm-list","fault":"down","value":1}`, 200, "{}", "/log/s/read?from=1", 200},
		{"one VM", `{"target":"a-1","fault":"paused","value":1}`, 200, "{}", "/vms?since=0", 200},
		{"no such VM", `{"target":"a-9","fault":"paused","value":1}`, 404, "no such target: a-9", "/vms", 200},
		{"no such fault", `{"target":"log","fault":"dwon","value":1}`, 400, "no such fault: dwon", "/vms", 200},
		{"no JSON", `down`, 400, "expected target, fault and value", "/vms", 200},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			stand, err := newTestStand(t, declarations)
			assert.NilError(t, err)
			assert.NilError(t, stand.fleet.Open())
			defer stand.fleet.Close()
			status, text := call(t, stand.Handler(), http.MethodPost, "/faults", s.body)
			assert.Equal(t, status, s.expectedStatus)
			assert.Equal(t, text, s.expectedText)
			status, _ = call(t, stand.Handler(), http.MethodGet, s.then, "")
			assert.Equal(t, status, s.expectedThen)
		})
	}
}

func TestVMPlacement(t *testing.T) {
	stand, err := newTestStand(t, declarations)
	assert.NilError(t, err)
	assert.NilError(t, stand.fleet.Open())
	defer stand.fleet.Close()
	_, text := call(t, stand.Handler(), http.MethodGet, "/vms?since=0", "")
	var lines strings.Builder
	for _, row := range strings.Split(text, "},{") {
		from, to := strings.Index(row, `"data-centre"`), strings.Index(row, `,"generation"`)
		name := strings.Index(row, `"name"`)
		lines.WriteString(row[name:strings.Index(row, `,"address"`)] + " " + row[from:to] + "\n")
	}
	golden.Assert(t, lines.String(), "places.golden")
}

func TestBadSettingsAndDeclarations(t *testing.T) {
	_, err := newTestStand(t, declarations+"[queue x]\npool = nowhere\n")
	assert.ErrorContains(t, err, `[queue x] pool: pool "nowhere" is not declared`)
	err = DefaultSettings().Bind().Parse("stand.ini", []byte("[platform]\naddress = here\n[workers]\nslots = 0\nfist-port = 1\n"))
	golden.Assert(t, err.Error()+"\n", "bad-settings.golden")
}

func TestSettingsReference(t *testing.T) {
	golden.Assert(t, DefaultSettings().Bind().Reference(), "settings.golden")
}

func TestCounts(t *testing.T) {
	stand, err := newTestStand(t, declarations)
	assert.NilError(t, err)
	status, text := call(t, stand.Handler(), http.MethodGet, "/counts?works=no", "")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, text, `{"totals":{"started":0,"finished":0,"cut":0,"outside-pool":0,"refused-slots":0,"refused-connections":0},`+
		`"teams":[],"requests-twice":[],"two-pools":[],"leaving":[]}`)
}
