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

func (f *rightsStub) TryAcquire(string) bool {
	if f.inUse >= f.limit {
		return false
	}
	f.inUse++
	return true
}

func (f *rightsStub) Release(string) { f.inUse-- }

func (f *rightsStub) Request(string) {}

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
	f := &fixture{newDispatcher(s, testPool), rights}
	f.configureSlots(slots, true)
	return f
}

func (f *fixture) configureSlots(slots int, active bool) {
	f.handle(configureCommand{[]route.Target{route.NewTarget("vm-1", "127.0.0.1:1", slots, 64)}, active})
	f.grantWaiting()
}

func (f *fixture) submit(request string, change func(a *askWire)) chan answerWire {
	a := askWire{Request: request, Pool: testPool, Team: testTeam, WaitMs: 10_000, RunTimeMs: 100, Holder: testHolder}
	if change != nil {
		change(&a)
	}
	reply := make(chan answerWire, 2)
	f.handle(askCommand{a, reply})
	f.grantWaiting()
	return reply
}

func (f *fixture) releaseGrant(request string, result Result) bool {
	known := make(chan bool, 1)
	f.handle(releaseCommand{releaseWire{testPool, request, result, 100}, known})
	f.grantWaiting()
	return <-known
}

func (f *fixture) tick() {
	f.expire()
	f.grantWaiting()
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
		steps    func(f *fixture) chan answerWire
		expected string
		inUse    int
	}{
		{"a free slot is granted", 9, func(f *fixture) chan answerWire { return f.submit("one", nil) }, "granted", 1},
		{"an immediate ask is refused where no slot is free", 9, func(f *fixture) chan answerWire {
			f.submit("one", nil)
			return f.submit("two", func(a *askWire) { a.Immediate = true })
		}, "queue-full", 1},
		{"nothing is granted without a right", 0, func(f *fixture) chan answerWire { return f.submit("one", nil) }, "none", 0},
		{"a waiting request is granted when a slot becomes free", 9, func(f *fixture) chan answerWire {
			f.submit("one", nil)
			reply := f.submit("two", nil)
			f.releaseGrant("one", ResultRan)
			return reply
		}, "granted", 1},
		{"an expired request is refused", 9, func(f *fixture) chan answerWire {
			f.submit("one", nil)
			reply := f.submit("two", nil)
			time.Sleep(11 * time.Second)
			f.tick()
			return reply
		}, "deadline-unmeetable", 1},
		{"a withdrawn request gets no grant", 9, func(f *fixture) chan answerWire {
			f.submit("one", nil)
			reply := f.submit("two", nil)
			f.releaseGrant("two", ResultNotStarted)
			f.releaseGrant("one", ResultRan)
			return reply
		}, "none", 0},
		{"waiting requests are refused when another gate takes over", 9, func(f *fixture) chan answerWire {
			f.submit("one", nil)
			reply := f.submit("two", nil)
			f.configureSlots(1, false)
			return reply
		}, "dispatcher-lost", 1},
		{"a gate that does not dispatch grants nothing", 9, func(f *fixture) chan answerWire {
			f.configureSlots(1, false)
			return f.submit("one", nil)
		}, "dispatcher-lost", 0},
		{"a second ask with the same id is refused", 9, func(f *fixture) chan answerWire {
			f.submit("one", nil)
			f.submit("two", nil)
			return f.submit("two", nil)
		}, "dispatcher-lost", 1},
		{"a waiting request whose holder is gone is refused", 9, func(f *fixture) chan answerWire {
			f.submit("one", nil)
			reply := f.submit("two", nil)
			f.handle(holdersCommand{map[string]bool{"gate-2.b": true}})
			return reply
		}, "dispatcher-lost", 1},
		{"a VM that stops serving gets no more grants", 9, func(f *fixture) chan answerWire {
			f.submit("one", nil)
			reply := f.submit("two", nil)
			f.handle(configureCommand{nil, true})
			f.releaseGrant("one", ResultRan)
			return reply
		}, "none", 0},
		{"a repeated release returns one right", 9, func(f *fixture) chan answerWire {
			f.submit("one", nil)
			f.releaseGrant("one", ResultRan)
			f.releaseGrant("one", ResultRan)
			return f.submit("two", nil)
		}, "granted", 1},
		{"a release with an unknown result keeps the right", 9, func(f *fixture) chan answerWire {
			f.submit("one", nil)
			reply := f.submit("two", nil)
			f.releaseGrant("one", ResultUnknown)
			return reply
		}, "none", 1},
		{"a moved request is redirected", 9, func(f *fixture) chan answerWire {
			f.submit("one", nil)
			reply := f.submit("two", nil)
			f.handle(moveCommand{[]move{{testTeam, "cz-b", 1}}})
			f.releaseGrant("one", ResultRan)
			return reply
		}, "ask in cz-b", 0},
		{"a right is returned if no VM may serve the request", 9, func(f *fixture) chan answerWire {
			return f.submit("one", func(a *askWire) { a.ExceptVM = []string{"vm-1"} })
		}, "no-upstream", 0},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(1, s.limit)
				reply := s.steps(f)
				assert.Equal(t, describeAnswer(reply), s.expected)
				assert.Equal(t, describeAnswer(reply), "none", "answered twice")
				assert.Equal(t, f.rights.inUse, s.inUse)
			})
		})
	}
}

// The asking gate adds WaitedMs to the time of its own ask to compute the start window, so an earlier wait at another
// dispatcher must not be included.
func TestWaitedMsStartsAtTheAsk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1, 9)
		f.submit("one", nil)
		time.Sleep(time.Second)
		reply := f.submit("two", func(a *askWire) { a.AgeMs = 5000 })
		time.Sleep(300 * time.Millisecond)
		f.releaseGrant("one", ResultRan)
		answer := <-reply
		assert.Assert(t, answer.Granted)
		assert.Equal(t, answer.WaitedMs, int64(300))
	})
}

// A moved request is ordered by the time of its first ask, so it starts before those that arrived later.
func TestMovedRequestKeepsItsArrivalTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1, 9)
		f.submit("running", nil)
		time.Sleep(time.Second)
		later := f.submit("later", nil)
		moved := f.submit("moved", func(a *askWire) { a.AgeMs = 700 })
		f.releaseGrant("running", ResultRan)
		assert.Equal(t, describeAnswer(moved), "granted")
		assert.Equal(t, describeAnswer(later), "none")
	})
}

// A team's share is raised while its requests wait. The new share must apply to the next starts without a new ask.
func TestShareChangeAppliesToWaitingTeams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const each = 40
		f := newFixture(1, each)
		f.service.states = fixedState{stateWithShares(t, "1", "1")}
		var first, second []chan answerWire
		f.submit("running", nil)
		for i := range each {
			first = append(first, f.submit(fmt.Sprintf("a-%d", i), func(a *askWire) { a.Team = "buyers" }))
			second = append(second, f.submit(fmt.Sprintf("b-%d", i), func(a *askWire) { a.Team = "retail" }))
		}
		f.service.states = fixedState{stateWithShares(t, "1", "3")}
		f.updateShares()
		f.releaseGrant("running", ResultRan)
		for range each {
			time.Sleep(100 * time.Millisecond)
			for request := range f.grants {
				f.releaseGrant(request, ResultRan)
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
		f := newFixture(1, 9)
		f.submit("one", nil)
		f.releaseGrant("one", ResultUnknown)
		grants := f.reclaimable()
		assert.Equal(t, len(grants), 1)
		time.Sleep(StartWindow + f.service.reportLag)
		assert.Assert(t, !f.service.canReclaim(grants[0]), "the report may be older than the start")
		time.Sleep(time.Millisecond)
		assert.Assert(t, f.service.canReclaim(grants[0]))
		f.handle(reclaimCommand{"one"})
		f.handle(reclaimCommand{"one"})
		assert.Equal(t, f.rights.inUse, 0)
	})
}

func TestGrantsOnAVMAreCountedUntilReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(2, 9)
		f.submit("one", nil)
		f.submit("two", nil)
		f.handle(configureCommand{nil, true})
		assert.Equal(t, f.grantsOn("vm-1"), 2)
		f.releaseGrant("one", ResultRan)
		assert.Equal(t, f.grantsOn("vm-1"), 1)
	})
}

// After any sequence of commands each request was answered at most once, and each grant holds exactly one right until it
// has ended.
func TestEachGrantHoldsOneRight(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFixture(3, rapid.IntRange(0, 5).Draw(rt, "limit"))
		replies := map[string]chan answerWire{}
		for i := range rapid.IntRange(1, 60).Draw(rt, "steps") {
			f.runRandomStep(rt, i, replies)
			assert.Assert(rt, f.rights.inUse == len(f.grants), "%d rights for %d grants", f.rights.inUse, len(f.grants))
			for request, reply := range replies {
				assert.Assert(rt, len(reply) <= 1, "%s was answered twice", request)
			}
		}
		f.configureSlots(3, false)
		for request := range replies {
			f.releaseGrant(request, ResultRan)
		}
		assert.Equal(rt, f.rights.inUse, 0)
	})
}

func (f *fixture) runRandomStep(rt *rapid.T, i int, replies map[string]chan answerWire) {
	request := fmt.Sprint(rapid.IntRange(0, max(i, 1)).Draw(rt, "request"))
	results := []Result{ResultRan, ResultFailed, ResultRefused, ResultUnreachable, ResultNotStarted, ResultUnknown}
	switch rapid.IntRange(0, 8).Draw(rt, "step") {
	case 0, 1, 2:
		replies[fmt.Sprint(i)] = f.submit(fmt.Sprint(i), func(a *askWire) {
			a.Immediate = rapid.Bool().Draw(rt, "immediate")
			a.WaitMs = rapid.SampledFrom([]int64{0, 60_000}).Draw(rt, "wait")
		})
	case 3, 4:
		f.releaseGrant(request, rapid.SampledFrom(results).Draw(rt, "result"))
	case 5:
		f.handle(reclaimCommand{request})
	case 6:
		f.handle(moveCommand{[]move{{testTeam, "cz-b", 1}}})
	case 7:
		f.configureSlots(rapid.IntRange(0, 3).Draw(rt, "slots"), rapid.Bool().Draw(rt, "active"))
	case 8:
		f.tick()
	}
}
