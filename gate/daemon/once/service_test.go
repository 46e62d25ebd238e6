package once

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/core/codes"
)

var keyedRequest = RequestSpec{Key: "order-7", Body: []byte("bonnet")}

func ticketRequest(t string) RequestSpec { return RequestSpec{Ticket: t, Body: []byte("bonnet")} }

// steps runs a scenario and returns the answers to compare.
type steps func(c *cluster) []string

func TestAtMostOnce(t *testing.T) {
	scenarios := []struct {
		testName string
		steps    steps
		expected []string
		starts   int
	}{
		{"ticket through all gates at once", func(c *cluster) []string {
			return c.sendAll(ticketRequest(c.node(1).service.Mint()))
		}, []string{"done: bonnet", "done: bonnet", "done: bonnet"}, 1},
		{"ticket again", func(c *cluster) []string {
			r := ticketRequest(c.node(1).service.Mint())
			c.send(0, r)
			return c.sendAll(r)
		}, []string{"done: bonnet", "done: bonnet", "done: bonnet"}, 1},
		{"key through all gates at once", func(c *cluster) []string {
			return c.sendAll(keyedRequest)
		}, []string{"done: bonnet", "done: bonnet", "done: bonnet"}, 1},
		{"another request under the key", func(c *cluster) []string {
			c.send(0, keyedRequest)
			return c.sendAll(RequestSpec{Key: "order-7", Body: []byte("boot")})
		}, []string{"request-mismatch not-run", "request-mismatch not-run", "request-mismatch not-run"}, 1},
		{"holder killed before the start", func(c *cluster) []string {
			r := ticketRequest(c.node(1).service.Mint())
			c.kill(1)
			c.start(1)
			return c.sendAll(r)
		}, []string{"holder-gone unknown", "holder-gone unknown", "holder-gone unknown"}, 0},
		{"holder killed during the run", func(c *cluster) []string {
			r := ticketRequest(c.node(1).service.Mint())
			go c.send(0, r)
			time.Sleep(runTime / 2)
			c.kill(1)
			return c.sendAll(r)
		}, []string{"holder-gone unknown", "connection refused", "holder-gone unknown"}, 1},
		{"key's holder killed after the run", func(c *cluster) []string {
			c.send(1, keyedRequest)
			c.kill(1)
			c.start(1)
			return c.sendAll(keyedRequest)
		}, []string{"holder-gone unknown", "holder-gone unknown", "holder-gone unknown"}, 1},
		{"holder cut off", func(c *cluster) []string {
			r := ticketRequest(c.node(1).service.Mint())
			c.send(0, r)
			c.isolated[1] = true
			return []string{c.send(0, r), c.send(1, r), c.send(2, r)}
		}, []string{"holder-gone unknown", "done: bonnet", "holder-gone unknown"}, 1},
		{"forwarded answer lost", func(c *cluster) []string {
			r := ticketRequest(c.node(1).service.Mint())
			c.lostMethod = methodForward
			lost := c.send(0, r)
			c.lostMethod = ""
			return []string{lost, c.send(1, r), c.send(2, r)}
		}, []string{"holder-gone unknown", "done: bonnet", "done: bonnet"}, 1},
		{"surely not run, then again", func(c *cluster) []string {
			r := ticketRequest(c.node(1).service.Mint())
			c.nextCode = codes.TeamLimit
			return []string{c.send(0, r), c.send(0, r), c.send(2, r)}
		}, []string{"team-limit not-run", "done: bonnet", "done: bonnet"}, 1},
		{"unknown outcome is never repeated", func(c *cluster) []string {
			c.nextCode = codes.UpstreamBroke
			return []string{c.send(0, keyedRequest), c.send(1, keyedRequest), c.send(2, keyedRequest)}
		}, []string{"upstream-broke unknown", "upstream-broke unknown", "upstream-broke unknown"}, 1},
		{"log down", func(c *cluster) []string {
			c.setLog(logDown)
			return c.sendAll(keyedRequest)
		}, []string{"claim-log-down not-run", "claim-log-down not-run", "claim-log-down not-run"}, 0},
		{"no room for claims", func(c *cluster) []string {
			c.setLog(logFull)
			refused := []string{c.send(0, keyedRequest), c.send(0, keyedRequest)}
			c.setLog(logUp)
			return append(refused, c.send(1, keyedRequest))
		}, []string{"claims-full not-run", "claims-full not-run", "done: bonnet"}, 1},
		{"no room for claims after the key ran", func(c *cluster) []string {
			c.send(1, keyedRequest)
			c.setLog(logFull)
			return c.sendAll(keyedRequest)
		}, []string{"done: bonnet", "done: bonnet", "done: bonnet"}, 1},
		{"log down after the key ran", func(c *cluster) []string {
			c.send(1, keyedRequest)
			c.setLog(logDown)
			return c.sendAll(keyedRequest)
		}, []string{"done: bonnet", "done: bonnet", "done: bonnet"}, 1},
		{"log down and a gate replaced", func(c *cluster) []string {
			c.setLog(logDown)
			c.kill(1)
			c.start(1)
			return []string{c.send(0, keyedRequest)}
		}, []string{"holder-gone unknown"}, 0},
		{"log down and a gate cut off", func(c *cluster) []string {
			c.setLog(logDown)
			c.isolated[1] = true
			return []string{c.send(0, keyedRequest)}
		}, []string{"holder-gone unknown"}, 0},
		{"claim's answer lost, repeated here", func(c *cluster) []string {
			c.setLog(logLate)
			lost := c.send(0, keyedRequest)
			c.setLog(logUp)
			return []string{lost, c.send(0, keyedRequest), c.send(0, keyedRequest)}
		}, []string{"claim-log-down not-run", "done: bonnet", "done: bonnet"}, 1},
		{"claim's answer lost, repeated elsewhere", func(c *cluster) []string {
			c.setLog(logLate)
			lost := c.send(0, keyedRequest)
			c.setLog(logUp)
			return append([]string{lost}, c.sendAll(keyedRequest)...)
		}, []string{"claim-log-down not-run", "done: bonnet", "done: bonnet", "done: bonnet"}, 1},
		{"claim's answer lost and its gate gone", func(c *cluster) []string {
			c.setLog(logLate)
			lost := c.send(0, keyedRequest)
			c.kill(0)
			c.setLog(logUp)
			return []string{lost, c.send(1, keyedRequest), c.send(2, keyedRequest)}
		}, []string{"claim-log-down not-run", "holder-gone unknown", "holder-gone unknown"}, 0},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			runInCluster(t, func(c *cluster) {
				assert.DeepEqual(t, s.steps(c), s.expected)
				assert.Equal(t, c.startsOf("bonnet"), s.starts)
			})
		})
	}
}

func TestHandOverKeepsTicketsUsable(t *testing.T) {
	runInCluster(t, func(c *cluster) {
		stopped := c.node(1)
		unused, done, busy := stopped.service.Mint(), stopped.service.Mint(), stopped.service.Mint()
		c.send(1, RequestSpec{Ticket: done, Body: []byte("door")})
		var inFlight sync.WaitGroup
		inFlight.Go(func() {
			assert.Check(t, strings.HasPrefix(c.send(1, RequestSpec{Ticket: busy, Body: []byte("hinge")}), "done"))
		})
		time.Sleep(runTime / 2)
		c.mu.Lock()
		stopped.stopping = true
		c.mu.Unlock()
		assert.NilError(t, stopped.service.HandOver(context.Background()))
		assert.Equal(t, c.send(1, ticketRequest(unused)), "done: bonnet")
		inFlight.Wait()
		time.Sleep(time.Second)
		c.kill(1)
		c.start(1)
		for range 2 {
			assert.DeepEqual(t, c.sendAll(ticketRequest(unused)), []string{"done: bonnet", "done: bonnet", "done: bonnet"})
			assert.Equal(t, c.send(2, RequestSpec{Ticket: done, Body: []byte("door")}), "done: door")
			assert.Equal(t, c.send(1, RequestSpec{Ticket: busy, Body: []byte("hinge")}), "done: hinge")
		}
		for _, body := range []string{"bonnet", "door", "hinge"} {
			assert.Equal(t, c.startsOf(body), 1, body)
		}
	})
}

func TestHandOverWithLostAnswerStartsAtMostOnce(t *testing.T) {
	runInCluster(t, func(c *cluster) {
		unused := c.node(1).service.Mint()
		c.lostMethod = methodHandOver
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		assert.ErrorContains(t, c.node(1).service.HandOver(ctx), "did not answer")
		c.lostMethod = ""
		c.sendAll(ticketRequest(unused))
		c.sendAll(ticketRequest(unused))
		assert.Equal(t, c.startsOf("bonnet"), 1, "the gate whose answer was lost must have adopted the tickets")
	})
}

func TestRequestOfGateKilledAfterHandOverIsUnknown(t *testing.T) {
	runInCluster(t, func(c *cluster) {
		busy := c.node(1).service.Mint()
		go c.send(1, ticketRequest(busy))
		time.Sleep(runTime / 2)
		assert.NilError(t, c.node(1).service.HandOver(context.Background()))
		c.kill(1)
		assert.Equal(t, c.send(2, ticketRequest(busy)), "holder-gone unknown")
		assert.Equal(t, c.startsOf("bonnet"), 1)
	})
}

func TestHandOverTriesNextGateAfterRefusal(t *testing.T) {
	runInCluster(t, func(c *cluster) {
		assert.NilError(t, c.node(0).service.HandOver(context.Background())) // to gate 1
		unused := c.node(1).service.Mint()
		assert.NilError(t, c.node(1).service.HandOver(context.Background())) // gate 0 refuses, gate 2 takes it
		assert.DeepEqual(t, c.sendAll(ticketRequest(unused)), []string{"done: bonnet", "done: bonnet", "done: bonnet"})
		assert.Equal(t, c.startsOf("bonnet"), 1)
	})
}

func TestWorkerReportResolvesUnknownOutcome(t *testing.T) {
	scenarios := []struct {
		testName string
		worker   string
		expected []string
	}{
		{"silent", "", []string{"upstream-broke unknown", "upstream-broke unknown"}},
		{"running", "running", []string{"still-running unknown", "still-running unknown"}},
		{"not seen proves nothing", "not-seen", []string{"upstream-broke unknown", "upstream-broke unknown"}},
		{"ran", "ran", []string{"answer-gone ran", "answer-gone ran"}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			runInCluster(t, func(c *cluster) {
				r := ticketRequest(c.node(1).service.Mint())
				c.nextCode = codes.UpstreamBroke
				c.send(0, r)
				c.workerReport = s.worker
				assert.DeepEqual(t, []string{c.send(0, r), c.send(1, r)}, s.expected)
				assert.Equal(t, c.startsOf("bonnet"), 1)
			})
		})
	}
}

func TestLookupStartsNothing(t *testing.T) {
	runInCluster(t, func(c *cluster) {
		minted := c.node(1).service.Mint()
		scenarios := []struct {
			testName string
			act      func()
			expected codes.Code
		}{
			{"not used", func() {}, codes.TicketUnknown},
			{"running", func() {
				go c.send(2, ticketRequest(minted))
				time.Sleep(runTime / 2)
			}, codes.StillRunning},
			{"done", func() { time.Sleep(runTime) }, codes.OK},
			{"holder gone", func() { c.kill(1) }, codes.HolderGone},
		}
		for _, s := range scenarios {
			s.act()
			got := c.node(0).service.Lookup(context.Background(), minted, &response{})
			assert.Equal(t, got.Code(), s.expected, s.testName)
		}
		assert.Equal(t, c.startsOf("bonnet"), 1)
	})
}
