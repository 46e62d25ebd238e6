package queue

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/gate/peers"
)

// Releasing an attempt whose answer was lost must not end the grant of a later attempt, so each has its own id.
func TestEachAttemptHasUniqueID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := &acquisition{ask: askWire{Request: "r"}, startedAt: time.Now()}
		first := q.nextAsk(true)
		time.Sleep(time.Second)
		second := q.nextAsk(false)
		assert.Equal(t, first.Request, "r")
		assert.Equal(t, second.Request, "r.2")
		assert.Assert(t, first.Immediate && !second.Immediate)
		assert.Equal(t, second.AgeMs, int64(1000))
	})
}

func TestRedirectAppliesToOneAttempt(t *testing.T) {
	sites := []peers.Member{peers.NewMember("g", "cz-a", "127.0.0.1:1"), peers.NewMember("h", "cz-b", "127.0.0.1:2")}
	q := &acquisition{redirectTo: "cz-b"}
	site, ok := q.takeRedirect(sites)
	assert.Assert(t, ok && site.Name() == "h")
	_, ok = q.takeRedirect(sites)
	assert.Assert(t, !ok)
	q.redirectTo = "cz-c"
	_, ok = q.takeRedirect(sites)
	assert.Assert(t, !ok, "a data centre that does not serve the pool")
}
