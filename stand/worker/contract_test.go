package worker

import (
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var variableFields = regexp.MustCompile(`("as-of-ms"|"lease-left-ms"|"checkpoint"):"?\d+"?`)

// TestHTTPCalls makes the calls in order to one worker; times in the answers are replaced by T.
func TestHTTPCalls(t *testing.T) {
	w, _ := startWorker(t)
	assert.Equal(t, send(t.Context(), w, "g1/7", "0").status, http.StatusOK)
	scenarios := []struct {
		testName, method, target, body string
		expectedStatus                 int
		expectedText                   string
	}{
		{"outcome of a request that ran", "GET", "/outcome/g1%2F7", "", 200, `{"outcome":"ran"}`},
		{"outcome of another", "GET", "/outcome/other", "", 200, `{"outcome":"not-seen"}`},
		{"start a task", "PUT", "/tasks/j%2F1", `{"team":"floor","lease-ms":60000,"spec":"x","token":5}`, 200, "{}"},
		{"an older token", "PUT", "/tasks/k", `{"team":"floor","lease-ms":60000,"token":4}`, 409, "token is older than one seen before"},
		{"no lease", "PUT", "/tasks/k", `{"team":"floor","token":5}`, 400, "expected team, lease-ms above 0, spec and token"},
		{"checkpoint", "POST", "/tasks/j%2F1/checkpoint", "{}", 200, "{}"},
		{"throttle", "POST", "/tasks/j%2F1/throttle", "{}", 200, "{}"},
		{"an unknown action", "POST", "/tasks/j%2F1/pause", "{}", 404, "expected checkpoint, throttle or stop"},
		{"running", "GET", "/running", "", 200, `{"as-of-ms":T,"slots":2,"running":[]}`},
		{"tasks", "GET", "/tasks", "", 200, `{"as-of-ms":T,"tasks":[{"id":"j/1","team":"floor","state":"throttled","checkpoint":T,"lease-left-ms":T}]}`},
		{"stop", "POST", "/tasks/j%2F1/stop", "{}", 200, "{}"},
		{"renew what was stopped", "PUT", "/tasks/j%2F1", `{"team":"floor","lease-ms":60000,"token":5}`, 409, "the task ended: stopped"},
		{"a request without an id", "POST", "/run", "x", 400, "Mango-Request-Id: missing"},
		{"another method", "GET", "/run", "", 405, ""},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			req, err := http.NewRequestWithContext(t.Context(), s.method, "http://"+w.Address()+s.target, strings.NewReader(s.body))
			assert.NilError(t, err)
			resp, err := http.DefaultClient.Do(req)
			assert.NilError(t, err)
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, s.expectedStatus)
			assert.Equal(t, variableFields.ReplaceAllString(strings.TrimSpace(string(body)), "$1:T"), s.expectedText)
		})
	}
}
