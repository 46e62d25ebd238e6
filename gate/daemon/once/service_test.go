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

var order = RequestSpec{Key: "order-7", Body: []byte("bonnet")}

func ticketed(t string) RequestSpec { return RequestSpec{Ticket: t, Body: []byte("bonnet")} }

// deal runs one scenario's steps and returns what the last call of each gate answered.
type deal func(c *cluster) []string

func TestAtMostOnce(t *testing.T) {
	scenarios := []struct {
		testName string
		deal     deal
		expected []string
		starts   int
	}{
		{"ticket through all gates at once", func(c *cluster) []string {
			return c.sendAll(ticketed(c.at(1).service.Mint()))
		}, []string{"done: bonnet", "done: bonnet", "done: bonnet"}, 1},
		{"ticket again", func(c *cluster) []string {
			r := ticketed(c.at(1).service.Mint())
			c.send(0, r)
			return c.sendAll(r)
		}, []string{"done: bonnet", "done: bonnet", "done: bonnet"}, 1},
		{"key through all gates at once", func(c *cluster) []string {
			return c.sendAll(order)
		}, []string{"done: bonnet", "done: bonnet", "done: bonnet"}, 1},
		{"another request under the key", func(c *cluster) []string {
			c.send(0, order)
			return c.sendAll(RequestSpec{Key: "order-7", Body: []byte("boot")})
		}, []string{"request-mismatch not-run", "request-mismatch not-run", "request-mismatch not-run"}, 1},
		{"holder killed before the start", func(c *cluster) []string {
			r := ticketed(c.at(1).service.Mint())
			c.kill(1)
			c.start(1)
			return c.sendAll(r)
		}, []string{"holder-gone unknown", "holder-gone unknown", "holder-gone unknown"}, 0},
		{"holder killed during the run", func(c *cluster) []string {
			r := ticketed(c.at(1).service.Mint())
			go c.send(0, r)
			time.Sleep(runTime / 2)
			c.kill(1)
			return c.sendAll(r)
		}, []string{"holder-gone unknown", "connection refused", "holder-gone unknown"}, 1},
		{"key's holder killed after the run", func(c *cluster) []string {
			c.send(1, order)
			c.kill(1)
			c.start(1)
			return c.sendAll(order)
		}, []string{"holder-gone unknown", "holder-gone unknown", "holder-gone unknown"}, 1},
		{"holder cut off", func(c *cluster) []string {
			r := ticketed(c.at(1).service.Mint())
			c.send(0, r)
			c.cut[1] = true
			return []string{c.send(0, r), c.send(1, r), c.send(2, r)}
		}, []string{"holder-gone unknown", "done: bonnet", "holder-gone unknown"}, 1},
		{"forwarded answer lost", func(c *cluster) []string {
			r := ticketed(c.at(1).service.Mint())
			c.muted = methodForward
			lost := c.send(0, r)
			c.muted = ""
			return []string{lost, c.send(1, r), c.send(2, r)}
		}, []string{"holder-gone unknown", "done: bonnet", "done: bonnet"}, 1},
		{"surely not run, then again", func(c *cluster) []string {
			r := ticketed(c.at(1).service.Mint())
			c.next = codes.TeamLimit
			return []string{c.send(0, r), c.send(0, r), c.send(2, r)}
		}, []string{"team-limit not-run", "done: bonnet", "done: bonnet"}, 1},
		{"unknown outcome is never repeated", func(c *cluster) []string {
			c.next = codes.UpstreamBroke
			return []string{c.send(0, order), c.send(1, order), c.send(2, order)}
		}, []string{"upstream-broke unknown", "upstream-broke unknown", "upstream-broke unknown"}, 1},
		{"log down", func(c *cluster) []string {
			c.setLog(logDown)
			return c.sendAll(order)
		}, []string{"claim-log-down not-run", "claim-log-down not-run", "claim-log-down not-run"}, 0},
		{"no room for claims", func(c *cluster) []string {
			c.setLog(logFull)
			refused := []string{c.send(0, order), c.send(0, order)}
			c.setLog(logUp)
			return append(refused, c.send(1, order))
		}, []string{"claims-full not-run", "claims-full not-run", "done: bonnet"}, 1},
		{"no room for claims after the key ran", func(c *cluster) []string {
			c.send(1, order)
			c.setLog(logFull)
			return c.sendAll(order)
		}, []string{"done: bonnet", "done: bonnet", "done: bonnet"}, 1},
		{"log down after the key ran", func(c *cluster) []string {
			c.send(1, order)
			c.setLog(logDown)
			return c.sendAll(order)
		}, []string{"done: bonnet", "done: bonnet", "done: bonnet"}, 1},
		{"log down and a gate replaced", func(c *cluster) []string {
			c.setLog(logDown)
			c.kill(1)
			c.start(1)
			return []string{c.send(0, order)}
		}, []string{"holder-gone unknown"}, 0},
		{"log down and a gate cut off", func(c *cluster) []string {
			c.setLog(logDown)
			c.cut[1] = true
			return []string{c.send(0, order)}
		}, []string{"holder-gone unknown"}, 0},
		{"claim's answer lost, repeated here", func(c *cluster) []string {
			c.setLog(logLate)
			lost := c.send(0, order)
			c.setLog(logUp)
			return []string{lost, c.send(0, order), c.send(0, order)}
		}, []string{"claim-log-down not-run", "done: bonnet", "done: bonnet"}, 1},
		{"claim's answer lost, repeated elsewhere", func(c *cluster) []string {
			c.setLog(logLate)
			lost := c.send(0, order)
			c.setLog(logUp)
			return append([]string{lost}, c.sendAll(order)...)
		}, []string{"claim-log-down not-run", "done: bonnet", "done: bonnet", "done: bonnet"}, 1},
		{"claim's answer lost and its gate gone", func(c *cluster) []string {
			c.setLog(logLate)
			lost := c.send(0, order)
			c.kill(0)
			c.setLog(logUp)
			return []string{lost, c.send(1, order), c.send(2, order)}
		}, []string{"claim-log-down not-run", "holder-gone unknown", "holder-gone unknown"}, 0},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			inCluster(t, func(c *cluster) {
				assert.DeepEqual(t, s.deal(c), s.expected)
				assert.Equal(t, c.startsOf("bonnet"), s.starts)
			})
		})
	}
}

func TestPlannedStopHandsTicketsOver(t *testing.T) {
	inCluster(t, func(c *cluster) {
		old := c.at(1)
		unused, done, busy := old.service.Mint(), old.service.Mint(), old.service.Mint()
		c.send(1, RequestSpec{Ticket: done, Body: []byte("door")})
		var inFlight sync.WaitGroup
		inFlight.Go(func() {
			assert.Check(t, strings.HasPrefix(c.send(1, RequestSpec{Ticket: busy, Body: []byte("hinge")}), "done"))
		})
		time.Sleep(runTime / 2)
		c.mu.Lock()
		old.stopping = true
		c.mu.Unlock()
		assert.NilError(t, old.service.HandOver(context.Background()))
		assert.Equal(t, c.send(1, ticketed(unused)), "done: bonnet")
		inFlight.Wait()
		time.Sleep(time.Second)
		c.kill(1)
		c.start(1)
		for range 2 {
			assert.DeepEqual(t, c.sendAll(ticketed(unused)), []string{"done: bonnet", "done: bonnet", "done: bonnet"})
			assert.Equal(t, c.send(2, RequestSpec{Ticket: done, Body: []byte("door")}), "done: door")
			assert.Equal(t, c.send(1, RequestSpec{Ticket: busy, Body: []byte("hinge")}), "done: hinge")
		}
		for _, body := range []string{"bonnet", "door", "hinge"} {
			assert.Equal(t, c.startsOf(body), 1, body)
		}
	})
}

func TestHandOverToASilentGateStartsNothingTwice(t *testing.T) {
	inCluster(t, func(c *cluster) {
		unused := c.at(1).service.Mint()
		c.muted = methodHandOver
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		assert.ErrorContains(t, c.at(1).service.HandOver(ctx), "did not answer")
		c.muted = ""
		c.sendAll(ticketed(unused))
		c.sendAll(ticketed(unused))
		assert.Equal(t, c.startsOf("bonnet"), 1, "the silent gate took it all the same")
	})
}

func TestGateGoneAfterItHandedRunningWorkOver(t *testing.T) {
	inCluster(t, func(c *cluster) {
		busy := c.at(1).service.Mint()
		go c.send(1, ticketed(busy))
		time.Sleep(runTime / 2)
		assert.NilError(t, c.at(1).service.HandOver(context.Background()))
		c.kill(1)
		assert.Equal(t, c.send(2, ticketed(busy)), "holder-gone unknown")
		assert.Equal(t, c.startsOf("bonnet"), 1)
	})
}

func TestHandOverGoesOnWhereAGateRefuses(t *testing.T) {
	inCluster(t, func(c *cluster) {
		assert.NilError(t, c.at(0).service.HandOver(context.Background())) // to gate 1
		unused := c.at(1).service.Mint()
		assert.NilError(t, c.at(1).service.HandOver(context.Background())) // gate 0 refuses, gate 2 takes it
		assert.DeepEqual(t, c.sendAll(ticketed(unused)), []string{"done: bonnet", "done: bonnet", "done: bonnet"})
		assert.Equal(t, c.startsOf("bonnet"), 1)
	})
}

func TestWorkersReportSettlesUnknownOutcomes(t *testing.T) {
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
			inCluster(t, func(c *cluster) {
				r := ticketed(c.at(1).service.Mint())
				c.next = codes.UpstreamBroke
				c.send(0, r)
				c.worker = s.worker
				assert.DeepEqual(t, []string{c.send(0, r), c.send(1, r)}, s.expected)
				assert.Equal(t, c.startsOf("bonnet"), 1)
			})
		})
	}
}

func TestLookStartsNothing(t *testing.T) {
	inCluster(t, func(c *cluster) {
		minted := c.at(1).service.Mint()
		scenarios := []struct {
			testName string
			act      func()
			expected codes.Code
		}{
			{"not used", func() {}, codes.TicketUnknown},
			{"running", func() {
				go c.send(2, ticketed(minted))
				time.Sleep(runTime / 2)
			}, codes.StillRunning},
			{"done", func() { time.Sleep(runTime) }, codes.OK},
			{"holder gone", func() { c.kill(1) }, codes.HolderGone},
		}
		for _, s := range scenarios {
			s.act()
			got := c.at(0).service.Lookup(context.Background(), minted, &page{})
			assert.Equal(t, got.Code(), s.expected, s.testName)
		}
		assert.Equal(t, c.startsOf("bonnet"), 1)
	})
}
