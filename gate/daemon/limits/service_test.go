package limits

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestWholeLimitBecomesUsable(t *testing.T) {
	scenarios := []struct {
		testName string
		limit    int
		befalls  func(c *centre)
	}{
		{"cold start, limit 1", 1, func(*centre) {}},
		{"cold start, limit 2", 2, func(*centre) {}},
		{"a gate replaced", 7, func(c *centre) {
			c.load(10*time.Second, 0, 1, 2)
			c.kill(1)
			c.start(1)
		}},
		{"a gate dead for good", 7, func(c *centre) {
			c.load(10*time.Second, 0, 1, 2)
			c.kill(2)
		}},
		{"a gate dead for good whose work goes on", 7, func(c *centre) {
			time.Sleep(recovery)
			c.load(time.Second, 1)
			c.finishWork.Wait()
			before := c.started[1]
			for c.tryStart(1, 20*time.Second) {
			}
			assert.Assert(c.t, c.started[1] > before)
			c.kill(1)
		}},
		{"rights lost on the way once", 7, func(c *centre) {
			time.Sleep(recovery)
			c.mute(methodGive)
			c.load(callTimeout+time.Second, 0, 1, 2)
			c.mute("")
		}},
		{"all gates replaced under load", 7, func(c *centre) {
			c.load(10*time.Second, 0, 1, 2)
			for slot := range 3 {
				c.kill(slot)
				c.start(slot)
			}
			c.load(time.Second, 0, 1, 2)
		}},
		{"messages lost and repeated", 9, func(c *centre) {
			c.lossy.Store(true)
			c.load(20*time.Second, 0, 1, 2)
			c.lossy.Store(false)
		}},
		{"killed and replaced while messages are lost", 6, func(c *centre) {
			c.lossy.Store(true)
			for round := range 6 {
				c.load(3*time.Second, 0, 1, 2)
				c.kill(round % 3)
				c.load(time.Duration(c.random(3000))*time.Millisecond, 0, 1, 2)
				c.start(round % 3)
			}
			c.lossy.Store(false)
		}},
		{"cut from the others and back", 6, func(c *centre) {
			c.load(6*time.Second, 0, 1, 2)
			c.setCut(1, true)
			c.kill(2)
			c.load(6*time.Second, 0, 1, 2)
			c.setCut(1, false)
		}},
		{"limit raised", 2, func(c *centre) {
			c.load(6*time.Second, 0, 1, 2)
			c.setLimit(8)
		}},
		{"limit lowered", 8, func(c *centre) {
			c.load(6*time.Second, 0, 1, 2)
			c.setLimit(3)
		}},
		{"limit lowered and raised at once", 8, func(c *centre) {
			c.load(6*time.Second, 0, 1, 2)
			c.setLimit(2)
			c.setLimit(5)
		}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			inCentre(t, s.limit, func(c *centre) {
				s.befalls(c)
				c.finishWork.Wait()
				time.Sleep(recovery)
				assert.Equal(t, c.usable(), c.limit)
			})
		})
	}
}

// The slip shows that the check on the number of running starts does notice a breach.
func TestForgottenWorkOfDeadGatesBreaksTheLimit(t *testing.T) {
	scenarios := []struct {
		testName string
		forget   bool
		expected string
	}{
		{"as designed", false, ""},
		{"slip: not asked for", true, "4 running, limit 3"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			inCentre(t, 3, func(c *centre) {
				c.forget.Store(s.forget)
				time.Sleep(recovery)
				for slot := range 3 {
					for c.tryStart(slot, time.Minute) {
					}
				}
				for slot := range 3 {
					c.kill(slot)
					c.start(slot)
				}
				c.load(20*time.Second, 0, 1, 2)
				c.mu.Lock()
				defer c.mu.Unlock()
				assert.Equal(t, c.breach, s.expected)
				c.breach = ""
			})
		})
	}
}

func TestLoweredLimitHoldsOnceFolded(t *testing.T) {
	scenarios := []struct {
		testName string
		lagging  int
	}{
		{"folded everywhere at once", -1},
		{"one gate folds it later", 1},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			inCentre(t, 9, func(c *centre) {
				c.load(6*time.Second, 0, 1, 2)
				c.lagging = s.lagging
				c.setLimit(4)
				c.load(3*time.Second, 0, 1, 2)
				c.publish(1, c.folder.Publish())
				time.Sleep(time.Second) // all work of before has ended
				c.mu.Lock()
				c.highest = 4
				c.mu.Unlock()
				c.load(10*time.Second, 0, 1, 2)
				time.Sleep(recovery)
				assert.Equal(t, c.usable(), 4)
			})
		})
	}
}

// The platform says nothing for a minute, and one of three gates ends for good under load.
func TestMostOfTheLimitIsUsableThroughAnOutage(t *testing.T) {
	inCentre(t, 30, func(c *centre) {
		time.Sleep(recovery)
		c.load(5*time.Second, 0, 1, 2)
		c.kill(1)
		sum, least, samples := 0, c.limit, 600
		for range samples {
			c.load(100*time.Millisecond, 0, 2)
			usable := min(c.limit, c.usable()+c.orphaned())
			sum += usable
			least = min(least, usable)
		}
		t.Logf("usable: %d%% on average, at least %d%%", 100*sum/samples/c.limit, 100*least/c.limit)
		assert.Assert(t, 100*sum/samples/c.limit >= 80)
		assert.Equal(t, c.usable(), c.limit)
	})
}

func TestSilentGateStopsNoTrade(t *testing.T) {
	inCentre(t, 4, func(c *centre) {
		time.Sleep(recovery)
		c.load(2*time.Second, 0)
		c.setCut(2, true)
		time.Sleep(recovery)
		before := c.started[1]
		c.load(5*time.Second, 1)
		assert.Assert(t, c.started[1] > before, "gate 1 got no right from gate 0")
	})
}

func TestRecountThatMeetsSilenceStopsNoTrade(t *testing.T) {
	inCentre(t, 4, func(c *centre) {
		time.Sleep(recovery)
		c.load(2*time.Second, 0)
		c.mute(methodReport)
		c.at(0).service.miss()
		time.Sleep(recovery)
		before := c.started[1]
		c.load(2*time.Second, 1)
		c.load(2*time.Second, 2)
		assert.Assert(t, c.started[1] > before+20, "trade stopped")
		assert.Assert(t, c.started[2] > 20, "trade stopped")
	})
}

// A gate ends after it granted a start that another one carries out later, as far as the settling time allows.
func TestWorkGrantedByDeadGateIsCounted(t *testing.T) {
	inCentre(t, 3, func(c *centre) {
		time.Sleep(recovery)
		c.load(time.Second, 0)
		granter := c.at(0)
		for granter.service.TryAcquire(testTeam) {
			c.finishWork.Go(func() {
				time.Sleep(testSettle - time.Millisecond)
				c.begin(0, granter.process.Incarnation())
				time.Sleep(10 * time.Second)
				c.mu.Lock()
				c.running[granter.process.Incarnation()]--
				c.mu.Unlock()
			})
		}
		c.kill(0)
		c.start(0)
		c.load(20*time.Second, 0, 1, 2)
	})
}

func TestBusyGatesShareSmallLimits(t *testing.T) {
	for _, limit := range []int{1, 2} {
		inCentre(t, limit, func(c *centre) {
			time.Sleep(recovery)
			c.load(60*time.Second, 0, 1, 2)
			t.Logf("limit %d: starts %v", limit, c.started)
			for slot := range 3 {
				assert.Assert(t, c.started[slot] > 100, "gate %d starved: %v", slot, c.started)
			}
		})
	}
}

func TestHandOver(t *testing.T) {
	inCentre(t, 5, func(c *centre) {
		time.Sleep(recovery)
		c.load(time.Second, 0, 1, 2)
		for slot := range 2 {
			c.at(slot).stopping.Store(true)
			began := time.Now()
			assert.NilError(t, c.at(slot).service.HandOver(context.Background()))
			assert.Assert(t, time.Since(began) < time.Second)
			assert.Assert(t, !c.at(slot).service.TryAcquire(testTeam))
		}
		c.finishWork.Wait()
		_, spare := c.at(2).service.Usage(testTeam)
		assert.Equal(t, spare, 5)
	})
}
