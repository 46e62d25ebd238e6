package config

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

type testSettings struct {
	name    string
	address string
	level   string
	peers   []string
	slots   int
	wait    time.Duration
}

func newTestSet() (*Set, *testSettings) {
	v := &testSettings{level: "info", slots: 8, wait: time.Second}
	s := &Set{}
	s.Name("gate", "name", &v.name, "the gate's name")
	s.Address("gate", "caller-address", &v.address, "where callers are served")
	s.Choice("logs", "level", &v.level, "the level", "info", "debug")
	s.List("gate", "peers", &v.peers, "the other gates")
	s.Int("traffic", "slots", &v.slots, 1, 64, "slots of a worker")
	s.Duration("traffic", "wait", &v.wait, time.Millisecond, time.Minute, "the longest wait")
	return s, v
}

const validSettings = "[gate]\nname = cz-a-1\ncaller-address = 127.0.0.1:7100\n"

func TestParseReportsEveryFault(t *testing.T) {
	scenarios := []struct {
		testName string
		text     string
		expected []string
	}{
		{"valid", validSettings, nil},
		{
			"missing", "", []string{
				"f.ini: [gate] name: missing, expected a name of letters, digits and '-'",
				"f.ini: [gate] caller-address: missing, expected an IP number and a port such as 127.0.0.1:7100",
			},
		},
		{
			"host name in place of an IP number", "[gate]\nname = a\ncaller-address = localhost:80\n",
			[]string{`f.ini: [gate] caller-address: "localhost:80": expected an IP number and a port such as 127.0.0.1:7100`},
		},
		{"empty name", "[gate]\nname =\ncaller-address = 127.0.0.1:1\n", []string{`f.ini: [gate] name: "": expected a name of letters, digits and '-'`}},
		{"word that is not a choice", validSettings + "[logs]\nlevel = loud\n", []string{`f.ini: [logs] level: "loud": expected one of info, debug`}},
		{"number out of range", validSettings + "[traffic]\nslots = 65\n", []string{`f.ini: [traffic] slots: "65": expected a whole number from 1 to 64`}},
		{"duration without a unit", validSettings + "[traffic]\nwait = 5\n", []string{`f.ini: [traffic] wait: "5": expected a duration from 1ms to 1m0s`}},
		{"unknown key", validSettings + "[traffic]\nslot = 5\n", []string{"f.ini: [traffic] slot: unknown, the nearest known one is [traffic] slots"}},
		{"key given twice, with the same value", validSettings + "[traffic]\nslots = 5\nslots = 5\n", []string{"f.ini: [traffic] slots: given twice"}},
		{"key in the wrong section", validSettings + "[trafic]\nslots = 5\n", []string{"f.ini: [trafic] slots: unknown, the nearest known one is [traffic] slots"}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			set, _ := newTestSet()
			err := set.Parse("f.ini", []byte(s.text))
			if s.expected == nil {
				assert.NilError(t, err)
				return
			}
			assert.Error(t, err, strings.Join(s.expected, "\n"))
		})
	}
}

func TestParseSetsBoundFields(t *testing.T) {
	set, v := newTestSet()
	assert.NilError(t, set.Parse("f.ini", []byte(validSettings+"peers = 127.0.0.1:1, 127.0.0.1:2\n[traffic]\nwait = 5s\n")))
	assert.Equal(t, fmt.Sprint(*v), "{cz-a-1 127.0.0.1:7100 info [127.0.0.1:1 127.0.0.1:2] 8 5000000000}")
}

func TestLoadReportsUnreadableFile(t *testing.T) {
	set, _ := newTestSet()
	assert.Error(t, set.Load("none.ini"), "none.ini: [-] -: cannot be read")
}

func TestReferenceListsEverySetting(t *testing.T) {
	set, _ := newTestSet()
	page := set.Reference()
	for _, row := range []string{
		"| gate | name | (required) | a name of letters, digits and '-' | the gate's name |",
		"| traffic | wait | 1s | a duration from 1ms to 1m0s | the longest wait |",
	} {
		assert.Assert(t, strings.Contains(page, row), page)
	}
}
