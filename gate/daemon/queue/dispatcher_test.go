package queue

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mangowing/core/codes"
	"mangowing/core/fold"
	"mangowing/core/proc"
	"mangowing/core/record"
	"mangowing/core/route"
)

const (
	testPool   = "replans"
	testTeam   = "plant-floor"
	testHolder = "gate-1.a"
)

// rightsStub counts the rights of all teams together.
type rightsStub struct {
	limit int
	inUse int
}

func (b *rightsStub) TryAcquire(string) bool {
	if b.inUse >= b.limit {
		return false
	}
	b.inUse++
	return true
}

func (b *rightsStub) Release(string) { b.inUse-- }

func (b *rightsStub) Request(string) {}

type fixedState struct{ state *fold.State }

func (f fixedState) State() *fold.State { return f.state }

// fixture is a dispatcher without its goroutine; the test calls handle itself.
type fixture struct {
	*dispatcher
	rights *rightsStub
}

func newFixture(slots, limit int) *fixture {
	rights := &rightsStub{limit: limit}
	s := &Service{
		process: proc.New("gate-1"), states: fixedState{fold.NewFolder().Publish()}, rights: rights,
		reportLag: time.Second, dispatchers: map[string]*dispatcher{},
	}
	b := &fixture{newDispatcher(s, testPool), rights}
	b.configureSlots(slots, true)
	return b
}

func (b *fixture) configureSlots(slots int, active bool) {
	b.handle(configureCommand{[]route.Target{route.NewTarget("vm-1", "127.0.0.1:1", slots, 64)}, active})
	b.grantWaiting()
}

func (b *fixture) submit(request string, change func(a *askWire)) chan answerWire {
	a := askWire{Request: request, Pool: testPool, Team: testTeam, WaitMs: 10_000, RunTimeMs: 100, Holder: testHolder}
	if change != nil {
		change(&a)
	}
	reply := make(chan answerWire, 2)
	b.handle(askCommand{a, reply})
	b.grantWaiting()
	return reply
}

func (b *fixture) releaseGrant(request string, result Result) bool {
	known := make(chan bool, 1)
	b.handle(releaseCommand{releaseWire{testPool, request, result, 100}, known})
	b.grantWaiting()
	return <-known
}

func (b *fixture) tick() {
	b.expire()
	b.grantWaiting()
}

// describeAnswer returns "none", "granted", the redirect, or the name of a refusal's code.
func describeAnswer(reply chan answerWire) string {
	select {
	case a := <-reply:
		if a.Granted {
			return "granted"
		}
		if a.MoveTo != "" {
			return "ask in " + a.MoveTo
		}
		return codes.Code(a.Code).Entry().Name()
	default:
		return "none"
	}
}

func TestDispatcherAnswers(t *testing.T) {
	scenarios := []struct {
		testName string
		limit    int
		steps    func(b *fixture) chan answerWire
		expected string
		spent    int
	}{
		{"a free slot is granted", 9, func(b *fixture) chan answerWire { return b.submit("one", nil) }, "granted", 1},
		{"an immediate ask is refused where no slot is free", 9, func(b *fixture) chan answerWire {
			b.submit("one", nil)
			return b.submit("two", func(a *askWire) { a.Immediate = true })
		}, "queue-full", 1},
		{"nothing is granted without a right", 0, func(b *fixture) chan answerWire { return b.submit("one", nil) }, "none", 0},
		{"a waiting request is granted when a slot becomes free", 9, func(b *fixture) chan answerWire {
			b.submit("one", nil)
			reply := b.submit("two", nil)
			b.releaseGrant("one", ResultRan)
			return reply
		}, "granted", 1},
		{"an expired request is refused", 9, func(b *fixture) chan answerWire {
			b.submit("one", nil)
			reply := b.submit("two", nil)
			time.Sleep(11 * time.Second)
			b.tick()
			return reply
		}, "deadline-unmeetable", 1},
		{"a withdrawn request gets no grant", 9, func(b *fixture) chan answerWire {
			b.submit("one", nil)
			reply := b.submit("two", nil)
			b.releaseGrant("two", ResultNotStarted)
			b.releaseGrant("one", ResultRan)
			return reply
		}, "none", 0},
		{"waiting requests are refused when another gate takes over", 9, func(b *fixture) chan answerWire {
			b.submit("one", nil)
			reply := b.submit("two", nil)
			b.configureSlots(1, false)
			return reply
		}, "dispatcher-lost", 1},
		{"a gate that does not dispatch grants nothing", 9, func(b *fixture) chan answerWire {
			b.configureSlots(1, false)
			return b.submit("one", nil)
		}, "dispatcher-lost", 0},
		{"a second ask with the same id is refused", 9, func(b *fixture) chan answerWire {
			b.submit("one", nil)
			b.submit("two", nil)
			return b.submit("two", nil)
		}, "dispatcher-lost", 1},
		{"a waiting request whose holder is gone is refused", 9, func(b *fixture) chan answerWire {
			b.submit("one", nil)
			reply := b.submit("two", nil)
			b.handle(holdersCommand{map[string]bool{"gate-2.b": true}})
			return reply
		}, "dispatcher-lost", 1},
		{"a VM that stops serving gets no more grants", 9, func(b *fixture) chan answerWire {
			b.submit("one", nil)
			reply := b.submit("two", nil)
			b.handle(configureCommand{nil, true})
			b.releaseGrant("one", ResultRan)
			return reply
		}, "none", 0},
		{"a repeated release returns one right", 9, func(b *fixture) chan answerWire {
			b.submit("one", nil)
			b.releaseGrant("one", ResultRan)
			b.releaseGrant("one", ResultRan)
			return b.submit("two", nil)
		}, "granted", 1},
		{"a release with an unknown result keeps the right", 9, func(b *fixture) chan answerWire {
			b.submit("one", nil)
			reply := b.submit("two", nil)
			b.releaseGrant("one", ResultUnknown)
			return reply
		}, "none", 1},
		{"a moved request is redirected", 9, func(b *fixture) chan answerWire {
			b.submit("one", nil)
			reply := b.submit("two", nil)
			b.handle(moveCommand{[]move{{testTeam, "cz-b", 1}}})
			b.releaseGrant("one", ResultRan)
			return reply
		}, "ask in cz-b", 0},
		{"a right is returned if no VM may serve the request", 9, func(b *fixture) chan answerWire {
			return b.submit("one", func(a *askWire) { a.ExceptVM = []string{"vm-1"} })
		}, "no-upstream", 0},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFixture(1, s.limit)
				reply := s.steps(b)
				assert.Equal(t, describeAnswer(reply), s.expected)
				assert.Equal(t, describeAnswer(reply), "none", "answered twice")
				assert.Equal(t, b.rights.inUse, s.spent)
			})
		})
	}
}

// The asking gate adds WaitedMs to the time of its own ask to compute the start window, so an earlier wait at another
// dispatcher must not be included.
func TestWaitedMsStartsAtTheAsk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(1, 9)
		b.submit("one", nil)
		time.Sleep(time.Second)
		reply := b.submit("two", func(a *askWire) { a.AgeMs = 5000 })
		time.Sleep(300 * time.Millisecond)
		b.releaseGrant("one", ResultRan)
		answer := <-reply
		assert.Assert(t, answer.Granted)
		assert.Equal(t, answer.WaitedMs, int64(300))
	})
}

// A moved request is ordered by the time of its first ask, so it starts before those that arrived later.
func TestMovedRequestKeepsItsArrivalTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(1, 9)
		b.submit("running", nil)
		time.Sleep(time.Second)
		later := b.submit("later", nil)
		moved := b.submit("moved", func(a *askWire) { a.AgeMs = 700 })
		b.releaseGrant("running", ResultRan)
		assert.Equal(t, describeAnswer(moved), "granted")
		assert.Equal(t, describeAnswer(later), "none")
	})
}

// A team's share is raised while its requests wait. The new share must apply to the next starts without a new ask.
func TestShareChangeAppliesToWaitingTeams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const each = 40
		b := newFixture(1, each)
		b.service.states = fixedState{stateWithShares(t, "1", "1")}
		var first, second []chan answerWire
		b.submit("running", nil)
		for i := range each {
			first = append(first, b.submit(fmt.Sprintf("a-%d", i), func(a *askWire) { a.Team = "buyers" }))
			second = append(second, b.submit(fmt.Sprintf("b-%d", i), func(a *askWire) { a.Team = "retail" }))
		}
		b.service.states = fixedState{stateWithShares(t, "1", "3")}
		b.updateShares()
		b.releaseGrant("running", ResultRan)
		for range each {
			time.Sleep(100 * time.Millisecond)
			for request := range b.grants {
				b.releaseGrant(request, ResultRan)
			}
		}
		assert.Equal(t, countGranted(second)/(countGranted(first)-1), 3, "%d and %d starts", countGranted(first), countGranted(second))
	})
}

func countGranted(replies []chan answerWire) int {
	n := 0
	for _, r := range replies {
		n += len(r)
	}
	return n
}

func stateWithShares(t *testing.T, first, second string) *fold.State {
	team := func(name, share string) record.Object {
		return record.NewObject("team", name, 0).WithField("organisation", "plant").WithField("share", share).WithField("limit", "9")
	}
	objects := []record.Object{
		record.NewObject("fleet", "plant", 0).WithField("data-centres", "cz-a"), team("buyers", first), team("retail", second),
	}
	data, err := record.EncodeBatch([]record.Record{record.New("operator", 0, record.NewChange(objects, ""))})
	assert.NilError(t, err)
	folder := fold.NewFolder()
	verdicts, err := folder.Apply(1, data)
	assert.NilError(t, err)
	assert.Equal(t, verdicts[0].Code(), codes.OK, "%v", verdicts[0].Faults())
	return folder.Publish()
}

func TestUnknownResultIsReclaimedOnlyAfterReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(1, 9)
		b.submit("one", nil)
		b.releaseGrant("one", ResultUnknown)
		grants := b.reclaimable()
		assert.Equal(t, len(grants), 1)
		time.Sleep(StartWindow + b.service.reportLag)
		assert.Assert(t, !b.service.canReclaim(grants[0]), "the report may be older than the start")
		time.Sleep(time.Millisecond)
		assert.Assert(t, b.service.canReclaim(grants[0]))
		b.handle(reclaimCommand{"one"})
		b.handle(reclaimCommand{"one"})
		assert.Equal(t, b.rights.inUse, 0)
	})
}

func TestGrantsOnAVMAreCountedUntilReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(2, 9)
		b.submit("one", nil)
		b.submit("two", nil)
		b.handle(configureCommand{nil, true})
		assert.Equal(t, b.grantsOn("vm-1"), 2)
		b.releaseGrant("one", ResultRan)
		assert.Equal(t, b.grantsOn("vm-1"), 1)
	})
}

// After any sequence of commands each request was answered at most once, and each grant holds exactly one right until it
// has ended.
func TestEachGrantHoldsOneRight(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newFixture(3, rapid.IntRange(0, 5).Draw(rt, "limit"))
		replies := map[string]chan answerWire{}
		for i := range rapid.IntRange(1, 60).Draw(rt, "steps") {
			b.runRandomStep(rt, i, replies)
			assert.Assert(rt, b.rights.inUse == len(b.grants), "%d rights for %d grants", b.rights.inUse, len(b.grants))
			for request, reply := range replies {
				assert.Assert(rt, len(reply) <= 1, "%s was answered twice", request)
			}
		}
		b.configureSlots(3, false)
		for request := range replies {
			b.releaseGrant(request, ResultRan)
		}
		assert.Equal(rt, b.rights.inUse, 0)
	})
}

func (b *fixture) runRandomStep(rt *rapid.T, i int, replies map[string]chan answerWire) {
	request := fmt.Sprint(rapid.IntRange(0, max(i, 1)).Draw(rt, "request"))
	results := []Result{ResultRan, ResultFailed, ResultRefused, ResultUnreachable, ResultNotStarted, ResultUnknown}
	switch rapid.IntRange(0, 8).Draw(rt, "step") {
	case 0, 1, 2:
		replies[fmt.Sprint(i)] = b.submit(fmt.Sprint(i), func(a *askWire) {
			a.Immediate = rapid.Bool().Draw(rt, "immediate")
			a.WaitMs = rapid.SampledFrom([]int64{0, 60_000}).Draw(rt, "wait")
		})
	case 3, 4:
		b.releaseGrant(request, rapid.SampledFrom(results).Draw(rt, "result"))
	case 5:
		b.handle(reclaimCommand{request})
	case 6:
		b.handle(moveCommand{[]move{{testTeam, "cz-b", 1}}})
	case 7:
		b.configureSlots(rapid.IntRange(0, 3).Draw(rt, "slots"), rapid.Bool().Draw(rt, "active"))
	case 8:
		b.tick()
	}
}
