package queue

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/gate/peers"
)

// Giving back a try whose answer was lost must not end the grant of a later one, so their ids differ.
func TestEachTryHasItsOwnID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := &search{ask: askWire{Request: "r"}, begun: time.Now()}
		first := q.next(true)
		time.Sleep(time.Second)
		second := q.next(false)
		assert.Equal(t, first.Request, "r")
		assert.Equal(t, second.Request, "r.2")
		assert.Assert(t, first.Immediate && !second.Immediate)
		assert.Equal(t, second.AgeMs, int64(1000))
	})
}

func TestDirectionHoldsForOneTry(t *testing.T) {
	sites := []peers.Member{peers.NewMember("g", "cz-a", "127.0.0.1:1"), peers.NewMember("h", "cz-b", "127.0.0.1:2")}
	q := &search{moveTo: "cz-b"}
	site, ok := q.directed(sites)
	assert.Assert(t, ok && site.Name() == "h")
	_, ok = q.directed(sites)
	assert.Assert(t, !ok)
	q.moveTo = "cz-c"
	_, ok = q.directed(sites)
	assert.Assert(t, !ok, "a data centre that does not serve the pool")
}
