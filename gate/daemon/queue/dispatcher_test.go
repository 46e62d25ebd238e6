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
	testPool  = "replans"
	testTeam  = "plant-floor"
	testOwner = "gate-1.a"
)

// book counts the rights of every team together.
type book struct {
	limit int
	spent int
}

func (b *book) TryAcquire(string) bool {
	if b.spent >= b.limit {
		return false
	}
	b.spent++
	return true
}

func (b *book) Release(string) { b.spent-- }

func (b *book) Request(string) {}

type fixedState struct{ state *fold.State }

func (f fixedState) State() *fold.State { return f.state }

// bench is a dispatcher whose commands the test hands in itself.
type bench struct {
	*dispatcher
	rights *book
}

func newBench(slots, limit int) *bench {
	rights := &book{limit: limit}
	s := &Service{
		process: proc.New("gate-1"), states: fixedState{fold.NewFolder().Publish()}, rights: rights,
		reportLag: time.Second, dispatchers: map[string]*dispatcher{},
	}
	b := &bench{newDispatcher(s, testPool), rights}
	b.serve(slots, true)
	return b
}

func (b *bench) serve(slots int, active bool) {
	b.handle(configureCommand{[]route.Target{route.NewTarget("vm-1", "127.0.0.1:1", slots, 64)}, active})
	b.pump()
}

func (b *bench) askFor(request string, change func(a *askWire)) chan answerWire {
	a := askWire{Request: request, Pool: testPool, Team: testTeam, WaitMs: 10_000, RunTimeMs: 100, Holder: testOwner}
	if change != nil {
		change(&a)
	}
	reply := make(chan answerWire, 2)
	b.handle(askCommand{a, reply})
	b.pump()
	return reply
}

func (b *bench) end(request string, result Result) bool {
	known := make(chan bool, 1)
	b.handle(releaseCommand{releaseWire{testPool, request, result, 100}, known})
	b.pump()
	return <-known
}

func (b *bench) tick() {
	b.expire()
	b.pump()
}

// told describes an answer: none, granted or the code of a refusal.
func told(reply chan answerWire) string {
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

func TestAnswersOfADispatcher(t *testing.T) {
	scenarios := []struct {
		testName string
		limit    int
		steps    func(b *bench) chan answerWire
		expected string
		spent    int
	}{
		{"a free slot is granted", 9, func(b *bench) chan answerWire { return b.askFor("one", nil) }, "granted", 1},
		{"an immediate ask is refused where no slot is free", 9, func(b *bench) chan answerWire {
			b.askFor("one", nil)
			return b.askFor("two", func(a *askWire) { a.Immediate = true })
		}, "queue-full", 1},
		{"no right, no grant", 0, func(b *bench) chan answerWire { return b.askFor("one", nil) }, "none", 0},
		{"one that waits is granted when a slot is free", 9, func(b *bench) chan answerWire {
			b.askFor("one", nil)
			reply := b.askFor("two", nil)
			b.end("one", ResultRan)
			return reply
		}, "granted", 1},
		{"a late one is refused", 9, func(b *bench) chan answerWire {
			b.askFor("one", nil)
			reply := b.askFor("two", nil)
			time.Sleep(11 * time.Second)
			b.tick()
			return reply
		}, "deadline-unmeetable", 1},
		{"a withdrawn one gets no grant", 9, func(b *bench) chan answerWire {
			b.askFor("one", nil)
			reply := b.askFor("two", nil)
			b.end("two", ResultNotStarted)
			b.end("one", ResultRan)
			return reply
		}, "none", 0},
		{"another gate dispatches", 9, func(b *bench) chan answerWire {
			b.askFor("one", nil)
			reply := b.askFor("two", nil)
			b.serve(1, false)
			return reply
		}, "dispatcher-lost", 1},
		{"a gate that does not dispatch grants nothing", 9, func(b *bench) chan answerWire {
			b.serve(1, false)
			return b.askFor("one", nil)
		}, "dispatcher-lost", 0},
		{"the same id waits once", 9, func(b *bench) chan answerWire {
			b.askFor("one", nil)
			b.askFor("two", nil)
			return b.askFor("two", nil)
		}, "dispatcher-lost", 1},
		{"the holder of a waiting one ended", 9, func(b *bench) chan answerWire {
			b.askFor("one", nil)
			reply := b.askFor("two", nil)
			b.handle(holderGoneCommand{map[string]bool{"gate-2.b": true}})
			return reply
		}, "dispatcher-lost", 1},
		{"a VM that stops serving gets nothing more", 9, func(b *bench) chan answerWire {
			b.askFor("one", nil)
			reply := b.askFor("two", nil)
			b.handle(configureCommand{nil, true})
			b.end("one", ResultRan)
			return reply
		}, "none", 0},
		{"a repeated release returns one right", 9, func(b *bench) chan answerWire {
			b.askFor("one", nil)
			b.end("one", ResultRan)
			b.end("one", ResultRan)
			return b.askFor("two", nil)
		}, "granted", 1},
		{"an unsure release returns no right", 9, func(b *bench) chan answerWire {
			b.askFor("one", nil)
			reply := b.askFor("two", nil)
			b.end("one", ResultUnknown)
			return reply
		}, "none", 1},
		{"a moved one is told where to ask", 9, func(b *bench) chan answerWire {
			b.askFor("one", nil)
			reply := b.askFor("two", nil)
			b.handle(moveCommand{[]move{{testTeam, "cz-b", 1}}})
			b.end("one", ResultRan)
			return reply
		}, "ask in cz-b", 0},
		{"the right of one without another VM is returned", 9, func(b *bench) chan answerWire {
			return b.askFor("one", func(a *askWire) { a.ExceptVM = []string{"vm-1"} })
		}, "no-upstream", 0},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(1, s.limit)
				reply := s.steps(b)
				assert.Equal(t, told(reply), s.expected)
				assert.Equal(t, told(reply), "none", "answered twice")
				assert.Equal(t, b.rights.spent, s.spent)
			})
		})
	}
}

// The asking gate counts the start window from its own ask, so an earlier wait elsewhere must not be in it.
func TestWaitedCountsFromTheAsk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(1, 9)
		b.askFor("one", nil)
		time.Sleep(time.Second)
		reply := b.askFor("two", func(a *askWire) { a.AgeMs = 5000 })
		time.Sleep(300 * time.Millisecond)
		b.end("one", ResultRan)
		answer := <-reply
		assert.Assert(t, answer.Granted)
		assert.Equal(t, answer.WaitedMs, int64(300))
	})
}

// A moved request keeps its place: it goes before those that came later.
func TestMovedRequestKeepsItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(1, 9)
		b.askFor("running", nil)
		time.Sleep(time.Second)
		later := b.askFor("later", nil)
		moved := b.askFor("moved", func(a *askWire) { a.AgeMs = 700 })
		b.end("running", ResultRan)
		assert.Equal(t, told(moved), "granted")
		assert.Equal(t, told(later), "none")
	})
}

// The last of two teams that wait has its share raised; it gets that part of the next starts without a new ask.
func TestChangedShareCountsForWaitingTeams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const each = 40
		b := newBench(1, each)
		b.service.states = fixedState{stateWithShares(t, "1", "1")}
		var first, second []chan answerWire
		b.askFor("running", nil)
		for i := range each {
			first = append(first, b.askFor(fmt.Sprintf("a-%d", i), func(a *askWire) { a.Team = "buyers" }))
			second = append(second, b.askFor(fmt.Sprintf("b-%d", i), func(a *askWire) { a.Team = "retail" }))
		}
		b.service.states = fixedState{stateWithShares(t, "1", "3")}
		b.weigh()
		b.end("running", ResultRan)
		for range each {
			time.Sleep(100 * time.Millisecond)
			for request := range b.grants {
				b.end(request, ResultRan)
			}
		}
		assert.Equal(t, granted(second)/(granted(first)-1), 3, "%d and %d starts", granted(first), granted(second))
	})
}

func granted(replies []chan answerWire) int {
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

func TestUnsureGrantsWaitForTheReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(1, 9)
		b.askFor("one", nil)
		b.end("one", ResultUnknown)
		grants := b.unsure()
		assert.Equal(t, len(grants), 1)
		time.Sleep(StartWindow + b.service.reportLag)
		assert.Assert(t, !b.service.mayHaveEnded(grants[0]), "a report could be older than the start")
		time.Sleep(time.Millisecond)
		assert.Assert(t, b.service.mayHaveEnded(grants[0]))
		b.handle(reclaimCommand{"one"})
		b.handle(reclaimCommand{"one"})
		assert.Equal(t, b.rights.spent, 0)
	})
}

func TestGrantsOnAVMAreCountedUntilReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(2, 9)
		b.askFor("one", nil)
		b.askFor("two", nil)
		b.handle(configureCommand{nil, true})
		assert.Equal(t, b.outstandingOn("vm-1"), 2)
		b.end("one", ResultRan)
		assert.Equal(t, b.outstandingOn("vm-1"), 1)
	})
}

// In every path each request is answered at most once, and each grant holds exactly one right until it ended.
func TestRightsReturnOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newBench(3, rapid.IntRange(0, 5).Draw(rt, "limit"))
		replies := map[string]chan answerWire{}
		for i := range rapid.IntRange(1, 60).Draw(rt, "steps") {
			b.step(rt, i, replies)
			assert.Assert(rt, b.rights.spent == len(b.grants), "%d rights for %d grants", b.rights.spent, len(b.grants))
			for request, reply := range replies {
				assert.Assert(rt, len(reply) <= 1, "%s was answered twice", request)
			}
		}
		b.serve(3, false)
		for request := range replies {
			b.end(request, ResultRan)
		}
		assert.Equal(rt, b.rights.spent, 0)
	})
}

func (b *bench) step(rt *rapid.T, i int, replies map[string]chan answerWire) {
	request := fmt.Sprint(rapid.IntRange(0, max(i, 1)).Draw(rt, "request"))
	results := []Result{ResultRan, ResultFailed, ResultRefused, ResultUnreachable, ResultNotStarted, ResultUnknown}
	switch rapid.IntRange(0, 8).Draw(rt, "step") {
	case 0, 1, 2:
		replies[fmt.Sprint(i)] = b.askFor(fmt.Sprint(i), func(a *askWire) {
			a.Immediate = rapid.Bool().Draw(rt, "immediate")
			a.WaitMs = rapid.SampledFrom([]int64{0, 60_000}).Draw(rt, "wait")
		})
	case 3, 4:
		b.end(request, rapid.SampledFrom(results).Draw(rt, "result"))
	case 5:
		b.handle(reclaimCommand{request})
	case 6:
		b.handle(moveCommand{[]move{{testTeam, "cz-b", 1}}})
	case 7:
		b.serve(rapid.IntRange(0, 3).Draw(rt, "slots"), rapid.Bool().Draw(rt, "active"))
	case 8:
		b.tick()
	}
}
