package admin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"mangowing/core/codes"
	"mangowing/core/fold"
	"mangowing/core/proc"
	"mangowing/core/record"
	"mangowing/gate/daemon/queue"
	"mangowing/gate/daemon/state"
	"mangowing/gate/daemon/vmlist"
	"mangowing/gate/peers"
)

const operatorKey = "operator"

// foldedControl folds appended records immediately, unless the log is down.
type foldedControl struct {
	folder    *fold.Folder
	down      bool
	withdrawn map[string]bool
}

func (c *foldedControl) State() *fold.State                      { return c.folder.Publish() }
func (c *foldedControl) StalenessMs() int64                      { return 0 }
func (c *foldedControl) IsLogReachable() bool                    { return !c.down }
func (c *foldedControl) Withdraw(_ context.Context, hash string) { c.withdrawn[hash] = true }

func (c *foldedControl) IsWithdrawn(hash string) bool                            { return c.withdrawn[hash] }
func (c *foldedControl) AwaitOffset(context.Context, uint64, time.Duration) bool { return true }

func (c *foldedControl) AppendWithOffsets(_ context.Context, records []record.Record) ([]state.AppendResult, error) {
	if c.down {
		return nil, codes.Errorf(codes.LogUnavailable, "")
	}
	data, err := record.EncodeBatch(records)
	if err != nil {
		return nil, err
	}
	offset := c.folder.Offset() + 1
	results, err := c.folder.Apply(offset, data)
	if err != nil {
		return nil, err
	}
	return []state.AppendResult{state.NewAppendResult(results[0], offset)}, nil
}

// loneGate is a gate without peers, load and VMs, with fixed rights.
type loneGate struct{ list *vmlist.List }

func (loneGate) View() *peers.View {
	return peers.NewView([]peers.Member{peers.NewMember("gate-1", "dc-a", "127.0.0.1:1")}, "gate-1")
}

func (loneGate) Call(context.Context, string, string, any, any) error { return peers.ErrRefused }
func (loneGate) Handle(string, peers.Handler)                         {}
func (loneGate) Load(string) (queue.PoolLoad, bool)                   { return queue.PoolLoad{}, false }
func (loneGate) Usage(string) (inUse, available int)                  { return 1, 2 }
func (loneGate) Fence(context.Context, string, uint64, string) error  { return nil }
func (g loneGate) List() *vmlist.List                                 { return g.list }

func fieldsJSON(pairs string) string {
	var out []string
	for _, pair := range strings.Split(pairs, ",") {
		key, value, _ := strings.Cut(pair, "=")
		out = append(out, fmt.Sprintf(`{"key":%q,"value":%q}`, key, value))
	}
	return "[" + strings.Join(out, ",") + "]"
}

func change(id string, objects ...string) string {
	return fmt.Sprintf(`{"id":%q,"by":"eva","note":"why","objects":[%s]}`, id, strings.Join(objects, ","))
}

func object(kind, name string, base int, pairs string) string {
	return fmt.Sprintf(`{"kind":%q,"name":%q,"base":%d,"fields":%s}`, kind, name, base, fieldsJSON(pairs))
}

func TestOperatorInterfaceAgainstGolden(t *testing.T) {
	sum := sha256.Sum256([]byte(operatorKey))
	c := &foldedControl{folder: fold.NewFolder(), withdrawn: map[string]bool{}}
	gate := loneGate{&vmlist.List{}}
	server := httptest.NewServer(New(Deps{
		Process: proc.New("gate-1"), Control: c, Members: gate, Peers: gate, PoolLoads: gate, Rights: gate,
		Platform: gate, Lists: gate, KeyHashes: []string{hex.EncodeToString(sum[:])},
	}).http.Handler)
	defer server.Close()
	hash := strings.Repeat("ab", 32)
	fleet := object("fleet", "f", 0, "data-centres=dc-a")
	pool := object("pool", "web", 0, "vms=w1")
	team := object("team", "buyers", 0, "organisation=one,share=1,limit=3")
	scenarios := []struct {
		testName string
		key      string
		method   string
		path     string
		body     string
		down     bool
	}{
		{"no credential", "", "GET", "/objects", "", false},
		{"wrong credential", "guess", "GET", "/objects", "", false},
		{"accepted change", operatorKey, "POST", "/changes", change("c1", fleet, pool, team), false},
		{"the same id again", operatorKey, "POST", "/changes", change("c1", fleet, pool, team), false},
		{"two pools claim a VM", operatorKey, "POST", "/changes", change("c2", object("pool", "other", 0, "vms=w1"), object("team", "b", 0, "organisation=x,share=0,limit=-1")), false},
		{"an older base", operatorKey, "POST", "/changes", change("c3", object("team", "buyers", 0, "organisation=one,share=1,limit=9")), false},
		{"no JSON", operatorKey, "POST", "/changes", "{", false},
		{"objects", operatorKey, "GET", "/objects", "", false},
		{"history", operatorKey, "GET", "/history", "", false},
		{"key granted", operatorKey, "POST", "/keys", `{"id":"k1","by":"eva","team":"buyers","label":"shop","hash":"` + hash + `"}`, false},
		{"key of no team", operatorKey, "POST", "/keys", `{"id":"k2","by":"eva","team":"nobody","hash":"` + strings.Repeat("cd", 32) + `"}`, false},
		{"short hash", operatorKey, "POST", "/keys", `{"id":"k3","by":"eva","team":"buyers","hash":"ab"}`, false},
		{"withdrawn while the log is down", operatorKey, "POST", "/keys/withdraw", `{"id":"k4","by":"eva","hash":"` + hash + `"}`, true},
		{"keys", operatorKey, "GET", "/keys", "", false},
		{"move of an unknown VM", operatorKey, "POST", "/moves", `{"id":"m1","by":"eva","vm":"w9","pool":"web"}`, false},
		{"unknown wave", operatorKey, "POST", "/waves/none/start", `{"id":"w1","by":"eva"}`, false},
		{"status", operatorKey, "GET", "/status", "", false},
	}
	volatile := regexp.MustCompile(`"(at-ms|slowest-ms|incarnation|digest)":("[^"]*"|\d+)`)
	var session strings.Builder
	for _, s := range scenarios {
		c.down = s.down
		req, err := http.NewRequest(s.method, server.URL+"/ops/v1"+s.path, strings.NewReader(s.body))
		assert.NilError(t, err)
		if s.key != "" {
			req.Header.Set("Authorization", "Bearer "+s.key)
		}
		resp, err := server.Client().Do(req)
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		_ = resp.Body.Close()
		answer := volatile.ReplaceAllString(strings.TrimSpace(string(body)), `"$1":"-"`)
		fmt.Fprintf(&session, "%s: %d\n  %s\n", s.testName, resp.StatusCode, answer)
	}
	golden.Assert(t, session.String(), "operators.golden")
}
