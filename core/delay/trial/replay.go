package trial

import (
	"cmp"
	"slices"
	"time"

	"mangowing/core/delay"
)

const (
	racks        = 4
	slotsPerRack = 10
	tick         = 10 * time.Millisecond
	// The deadlines of the trace's tasks: slackFactor times the estimate and slackTime after the arrival. Up to usefulFactor times that
	// the result is of use.
	slackFactor  = 1.6
	slackTime    = 600 * time.Millisecond
	usefulFactor = 3
)

// scenario is how the trace is changed, and what fails.
type scenario struct {
	name          string
	factor        float64         // how many times as long tasks run on another rack
	rackOf        func(n int) int // rack of the n-th task's data, nil for the trace's
	speedUp       float64         // how many times as fast tasks arrive, 0 for once
	runTimeFactor float64         // by which run times exceed the trace's, while estimates stay; 0 for 1
	lostFrom      time.Duration   // the trace's first rack is silent from then on, 0 for never
	lostUntil     time.Duration   // and returns then
	takeovers     time.Duration   // a new owner, which knows of no waits, in this interval; 0 for none
}

// measures are the results of a replay.
type measures struct {
	mean, worst time.Duration // from arrival to end; worst is the 99th percentile
	inTime      float64       // share of tasks that end by their deadline
	useful      float64       // share of tasks whose result is of use
	near        float64       // share of tasks that ran beside their data
	waits       int           // tasks that waited though they could have started
	inVain      int           // of these, tasks that ran elsewhere all the same
	busy        time.Duration // time for which slots were held
}

type waiting struct {
	request
	since time.Duration // when it first waited though it could have started, 0 for never
}

type running struct {
	startedAt time.Duration
	expected  time.Duration
	endsAt    time.Duration
}

// cluster is the state of a replay.
type cluster struct {
	scenario scenario
	strategy delay.Strategy
	now      time.Duration
	queue    []*waiting
	racks    [racks][]running
	outlooks map[outlookKey]*delay.Outlook // of this tick
	times    []time.Duration
	result   measures
}

type outlookKey struct {
	rack    int
	penalty time.Duration
}

// replayTrace plays the trace with a strategy until all tasks have ended.
func replayTrace(trace []request, s scenario, strategy delay.Strategy) measures {
	c := &cluster{scenario: s, strategy: strategy}
	next := 0
	for ; next < len(trace) || len(c.queue) > 0; c.now += tick {
		for next < len(trace) && c.arrival(trace[next]) <= c.now {
			r := trace[next]
			r.at = c.arrival(r)
			if s.rackOf != nil {
				r.rack = s.rackOf(next)
			}
			c.queue = append(c.queue, &waiting{request: r})
			next++
		}
		c.step()
	}
	return c.summary()
}

func (c *cluster) arrival(r request) time.Duration {
	return time.Duration(r.at.Seconds() / cmp.Or(c.scenario.speedUp, 1) * float64(time.Second))
}

func (c *cluster) step() {
	for i := range c.racks {
		c.racks[i] = slices.DeleteFunc(c.racks[i], func(r running) bool { return r.endsAt <= c.now })
	}
	c.outlooks = map[outlookKey]*delay.Outlook{}
	forgets := c.scenario.takeovers > 0 && c.now%c.scenario.takeovers < tick
	ahead := [racks]int{}
	c.queue = slices.DeleteFunc(c.queue, func(w *waiting) bool {
		if forgets {
			w.since = 0
		}
		started := c.place(w, ahead[w.rack])
		if !started {
			ahead[w.rack]++
		}
		return started
	})
}

// place starts the task if there is room beside its data, or elsewhere if the strategy doesn't wait.
func (c *cluster) place(w *waiting, ahead int) bool {
	if c.hasRoom(w.rack) {
		c.start(w, w.rack)
		return true
	}
	other := c.emptiestRack(w.rack)
	if other < 0 {
		return false
	}
	if c.strategy.Limit(c.offer(w, ahead)) > 0 {
		if w.since == 0 {
			w.since = c.now
			c.result.waits++
		}
		return false
	}
	if w.since > 0 {
		c.result.inVain++
	}
	c.start(w, other)
	return true
}

func (c *cluster) isLost(rack int) bool {
	s := c.scenario
	return rack == 0 && s.lostFrom > 0 && c.now >= s.lostFrom && c.now < s.lostUntil
}

func (c *cluster) hasRoom(rack int) bool { return len(c.racks[rack]) < slotsPerRack && !c.isLost(rack) }

// emptiestRack returns the rack with the most room apart from the given one, -1 if none has any.
func (c *cluster) emptiestRack(except int) int {
	best := -1
	for i := range c.racks {
		if i != except && c.hasRoom(i) && (best < 0 || len(c.racks[i]) < len(c.racks[best])) {
			best = i
		}
	}
	return best
}

func (c *cluster) offer(w *waiting, ahead int) delay.Offer {
	o := delay.Offer{Near: w.estimate, Factor: c.scenario.factor, Ahead: ahead, Crowd: float64(len(c.queue)-1) / (racks * slotsPerRack)}
	if w.since > 0 {
		o.Waited = c.now - w.since
	}
	objective := time.Duration(slackFactor*float64(w.estimate)) + slackTime
	o.Deadline, o.Useful = w.at+objective-c.now, w.at+usefulFactor*objective-c.now
	key := outlookKey{w.rack, o.Penalty()}
	if c.outlooks[key] == nil {
		c.outlooks[key] = delay.NewOutlook(key.penalty, c.places(w.rack))
	}
	o.Outlook = c.outlooks[key]
	return o
}

// places returns the places of a rack that has no room.
func (c *cluster) places(rack int) []delay.Place {
	if c.isLost(rack) {
		return slices.Repeat([]delay.Place{delay.Silent{For: c.now - c.scenario.lostFrom}}, slotsPerRack)
	}
	var places []delay.Place
	for _, r := range c.racks[rack] {
		places = append(places, delay.Held{Elapsed: c.now - r.startedAt, Estimate: r.expected})
	}
	return places
}

func (c *cluster) start(w *waiting, rack int) {
	factor := 1.0
	if rack != w.rack {
		factor = c.scenario.factor
	} else {
		c.result.near++
	}
	runTime := time.Duration(float64(w.runTime) * factor * cmp.Or(c.scenario.runTimeFactor, 1))
	c.racks[rack] = append(c.racks[rack], running{c.now, time.Duration(float64(w.estimate) * factor), c.now + runTime})
	took := c.now + runTime - w.at
	objective := time.Duration(slackFactor*float64(w.estimate)) + slackTime
	if took <= objective {
		c.result.inTime++
	}
	if took <= usefulFactor*objective {
		c.result.useful++
	}
	c.result.busy += runTime
	c.times = append(c.times, took)
}

func (c *cluster) summary() measures {
	slices.Sort(c.times)
	for _, t := range c.times {
		c.result.mean += t
	}
	n := len(c.times)
	c.result.mean /= time.Duration(n)
	c.result.worst = c.times[n*99/100]
	c.result.inTime /= float64(n)
	c.result.useful /= float64(n)
	c.result.near /= float64(n)
	return c.result
}
