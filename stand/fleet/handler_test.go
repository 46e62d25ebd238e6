package fleet

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/gorilla/mux"
	"gotest.tools/v3/assert"
)

func TestHTTPCalls(t *testing.T) {
	row := `{"name":"a","address":"127.0.0.1:9","data-centre":"d","rack":"r1","generation":1,"state":"live",` +
		`"cores":0,"memory-gb":0,"accelerators":0,"slots":0,"connections":0,"pool":"pours"}`
	scenarios := []struct {
		testName, method, target, body string
		expectedStatus                 int
		expectedText                   string
	}{
		{"list", "GET", "/vms?since=0", "", 200, `{"version":2,"vms":[` + row + `,` + strings.NewReplacer(
			`"a"`, `"b"`, "r1", "r2", "pours", "quotes").Replace(row) + `]}`},
		{"nothing changed", "GET", "/vms?since=2&wait-ms=1", "", 200, `{"version":2,"vms":[]}`},
		{"reassign", "POST", "/vms/a/reassign", `{"request-id":"1","generation":1,"pool":"quotes"}`, 200, "{}"},
		{"reboot of another generation", "POST", "/vms/a/reboot", `{"request-id":"1","generation":3}`, 409, "the VM's generation is 1"},
		{"fence", "POST", "/vms/a/fence", `{"request-id":"1","generation":1}`, 200, "{}"},
		{"no such VM", "POST", "/vms/z/fence", `{"request-id":"1","generation":1}`, 404, "no such VM"},
		{"no request id", "POST", "/vms/a/fence", `{"generation":1}`, 400, "expected request-id and generation"},
		{"no such action", "POST", "/vms/a/drain", `{}`, 404, "404 page not found"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			f, _ := newTestFleet(t)
			router := mux.NewRouter()
			f.Register(router)
			w := httptest.NewRecorder()
			router.ServeHTTP(w, httptest.NewRequest(s.method, s.target, strings.NewReader(s.body)))
			assert.Equal(t, w.Code, s.expectedStatus)
			assert.Equal(t, strings.TrimSpace(w.Body.String()), s.expectedText)
		})
	}
}
