package plat

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fakeServer answers every request with the same text and records the last request.
type fakeServer struct {
	status int
	answer string
	method string
	uri    string
	body   string
}

func (f *fakeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	f.method, f.uri, f.body = r.Method, r.RequestURI, string(body)
	w.WriteHeader(f.status)
	_, _ = io.WriteString(w, f.answer)
}

func startFake(t *testing.T, f *fakeServer) string {
	t.Helper()
	if f.status == 0 {
		f.status = http.StatusOK
	}
	server := httptest.NewServer(f)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func TestRequestsOnTheWire(t *testing.T) {
	scenarios := []struct {
		testName       string
		call           func(ctx context.Context, address string) error
		answer         string
		expectedMethod string
		expectedURI    string
		expectedBody   string
	}{
		{"append", func(ctx context.Context, a string) error {
			_, err := NewClient(a).Append(ctx, "config", []byte("[1]"))
			return err
		}, `{"offset":1}`, "POST", "/log/config/append", "[1]"},
		{"read", func(ctx context.Context, a string) error {
			_, err := NewClient(a).Read(ctx, "config", 3, 10, 2*time.Second)
			return err
		}, `{}`, "GET", "/log/config/read?from=3&max=10&wait-ms=2000", ""},
		{"vms", func(ctx context.Context, a string) error {
			_, err := NewClient(a).VMs(ctx, 4, time.Second)
			return err
		}, `{}`, "GET", "/vms?since=4&wait-ms=1000", ""},
		{"reboot", func(ctx context.Context, a string) error {
			return NewClient(a).Reboot(ctx, "pour-01", 2, "r1")
		}, `{}`, "POST", "/vms/pour-01/reboot", `{"request-id":"r1","generation":2}`},
		{"reassign", func(ctx context.Context, a string) error {
			return NewClient(a).Reassign(ctx, "pour-01", 2, "r1", "office")
		}, `{}`, "POST", "/vms/pour-01/reassign", `{"request-id":"r1","generation":2,"pool":"office"}`},
		{"fence", func(ctx context.Context, a string) error {
			return NewClient(a).Fence(ctx, "pour-01", 2, "r1")
		}, `{}`, "POST", "/vms/pour-01/fence", `{"request-id":"r1","generation":2}`},
		{"outcome with a slash in the id", func(ctx context.Context, a string) error {
			_, err := NewWorkers().Outcome(ctx, a, "g1/7")
			return err
		}, `{}`, "GET", "/outcome/g1%2F7", ""},
		{"start task", func(ctx context.Context, a string) error {
			return NewWorkers().StartTask(ctx, a, "j1", TaskSpec{Team: "floor", Lease: time.Second, Spec: "x", Token: 5})
		}, `{}`, "PUT", "/tasks/j1", `{"team":"floor","lease-ms":1000,"spec":"x","token":5}`},
		{"checkpoint", func(ctx context.Context, a string) error {
			return NewWorkers().Checkpoint(ctx, a, "j1")
		}, `{}`, "POST", "/tasks/j1/checkpoint", `{}`},
		{"throttle", func(ctx context.Context, a string) error {
			return NewWorkers().Throttle(ctx, a, "j1")
		}, `{}`, "POST", "/tasks/j1/throttle", `{}`},
		{"stop task", func(ctx context.Context, a string) error {
			return NewWorkers().StopTask(ctx, a, "j1")
		}, `{}`, "POST", "/tasks/j1/stop", `{}`},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			f := &fakeServer{answer: s.answer}
			assert.NilError(t, s.call(t.Context(), startFake(t, f)))
			assert.Equal(t, f.method+" "+f.uri, s.expectedMethod+" "+s.expectedURI)
			assert.Equal(t, f.body, s.expectedBody)
		})
	}
}

func TestResponsesAreDecoded(t *testing.T) {
	page, err := NewClient(startFake(t, &fakeServer{
		answer: `{"oldest":2,"next":4,"entries":[{"offset":3,"at-ms":77,"data":"[\"ü\"]"}]}`,
	})).Read(t.Context(), "config", 3, 1, 0)
	assert.NilError(t, err)
	assert.Equal(t, page.Oldest(), uint64(2))
	assert.Equal(t, page.Next(), uint64(4))
	assert.Equal(t, page.Entries()[0], NewEntry(3, 77, []byte(`["ü"]`)))

	text := `{"name":"a","address":"127.0.0.1:9","data-centre":"dc","rack":"r","generation":3,"state":"leaving",` +
		`"cores":16,"memory-gb":64,"accelerators":1,"slots":8,"connections":64,"pool":"pour"}`
	vms, err := NewClient(startFake(t, &fakeServer{answer: `{"version":9,"vms":[` + text + `]}`})).VMs(t.Context(), 0, 0)
	assert.NilError(t, err)
	assert.Equal(t, vms.Version(), uint64(9))
	expected := NewVM(VMSpec{"a", "127.0.0.1:9", "dc", "r", 3, VMLeaving, 16, 64, 1, 8, 64, "pour"})
	assert.Equal(t, vms.VMs()[0], expected)
	again, err := json.Marshal(vms.VMs()[0])
	assert.NilError(t, err)
	assert.Equal(t, string(again), text)

	running, err := NewWorkers().Running(t.Context(), startFake(t, &fakeServer{
		answer: `{"as-of-ms":5,"slots":8,"running":[{"request-id":"q","team":"floor","gate":"g.1"}]}`,
	}))
	assert.NilError(t, err)
	assert.Equal(t, running.AsOfMs(), int64(5))
	assert.Equal(t, running.Slots(), 8)
	assert.DeepEqual(t, running.Requests()[0].w, NewRunningRequest("q", "floor", "g.1").w)

	tasks, err := NewWorkers().Tasks(t.Context(), startFake(t, &fakeServer{
		answer: `{"as-of-ms":5,"tasks":[{"id":"j","team":"floor","state":"running","checkpoint":"3","lease-left-ms":1500}]}`,
	}))
	assert.NilError(t, err)
	assert.Equal(t, tasks[0].LeaseLeft(), 1500*time.Millisecond)
}

// startRawServer answers the first bytes received on each connection with fixed bytes, then closes it.
func startRawServer(t *testing.T, answer string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 4096))
			_, _ = io.WriteString(conn, answer)
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

func unusedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	return listener.Addr().String()
}

func TestEffectOfFailedCalls(t *testing.T) {
	scenarios := []struct {
		testName       string
		start          func(t *testing.T) string
		expectedEffect Effect
		expectedStatus int
		expectedDetail string
	}{
		{"connection refused", unusedAddress, EffectNone, 0, ""},
		{"no address", func(*testing.T) string { return "" }, EffectNone, 0, ""},
		{"sent, then closed", func(t *testing.T) string { return startRawServer(t, "") }, EffectUnknown, 0, ""},
		{"short answer", func(t *testing.T) string {
			return startRawServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{\"off")
		}, EffectUnknown, 200, ""},
		{"garbage", func(t *testing.T) string { return startFake(t, &fakeServer{answer: "<html>"}) }, EffectUnknown, 200, ""},
		{"no offset", func(t *testing.T) string { return startFake(t, &fakeServer{answer: "{}"}) }, EffectUnknown, 0, ""},
		{"redirect", func(t *testing.T) string {
			return startFake(t, &fakeServer{status: 307, answer: "elsewhere"})
		}, EffectUnknown, 307, "elsewhere"},
		{"refused with a text", func(t *testing.T) string {
			return startFake(t, &fakeServer{status: 409, answer: "other generation\n"})
		}, EffectRefused, 409, "other generation"},
		{"server error", func(t *testing.T) string {
			return startFake(t, &fakeServer{status: 503, answer: "down"})
		}, EffectUnknown, 503, "down"},
		{"long refusal", func(t *testing.T) string {
			return startFake(t, &fakeServer{status: 400, answer: strings.Repeat("x", 9000)})
		}, EffectRefused, 400, strings.Repeat("x", maxDetailBytes)},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			_, err := NewClient(s.start(t)).Append(t.Context(), "config", []byte("[]"))
			var failure *CallError
			assert.Assert(t, errors.As(err, &failure), "%v", err)
			assert.Equal(t, EffectOf(err), s.expectedEffect, "%v", err)
			assert.Equal(t, failure.Status(), s.expectedStatus)
			assert.Equal(t, failure.Detail(), s.expectedDetail)
		})
	}
}

func TestEffectWhenContextIsCancelled(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		cancel()
		<-r.Context().Done()
	}))
	defer server.Close()
	client := NewClient(server.Listener.Addr().String())
	_, err := client.Append(ctx, "config", []byte("[]"))
	assert.Equal(t, EffectOf(err), EffectUnknown)
	assert.ErrorIs(t, err, context.Canceled)
	_, err = NewClient(server.Listener.Addr().String()).Append(ctx, "config", []byte("[]"))
	assert.Equal(t, EffectOf(err), EffectNone, "a call under an ended context is never sent")
}
