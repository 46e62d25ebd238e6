package replay

import (
	"time"

	"mangowing/core/decl"
)

// Deployments returns the names of the deployments that can be replayed.
func Deployments() []string { return []string{"vlnka", "hessian"} }

// stream is one kind of work that a team sends to a queue.
type stream struct {
	team            string
	class           decl.Class
	loadFraction    float64 // fraction of the queue's load in slots
	medianRunTime   time.Duration
	declaredRunTime time.Duration
	deadline        time.Duration // from arrival, 0 for none
	latestFinish    time.Duration // from the start of the queue's turn, 0 for none
	isIdempotent    bool
}

// isJob reports whether the work is retried until it succeeds or is set aside.
func (s stream) isJob() bool { return s.class == decl.Patient || s.class == decl.Background }

// teamWeight is a team's weight in the distribution of a full pool's slots.
type teamWeight struct {
	name   string
	weight int
}

// deployment describes a deployment's topology, teams and work.
type deployment struct {
	name                 string
	crossDataCentreDelay time.Duration // one way
	gates                int
	teams                []teamWeight
	streams              []stream
	cancellingTeam       string // the team whose callers cancel many requests at once
}

const (
	localDelay = 150 * time.Microsecond // one-way delay between gates of a data centre
)

func deploymentByName(name string) deployment {
	if name == "hessian" {
		return hessian()
	}
	return vlnka()
}

// vlnka has one large customer, retail, which floods the queues while the plant floor needs its share.
func vlnka() deployment {
	return deployment{
		name:                 "vlnka",
		crossDataCentreDelay: 700 * time.Microsecond,
		gates:                8,
		teams: []teamWeight{
			{"retail", 30}, {"plant", 25}, {"buyers", 15}, {"warehouse", 10}, {"reprints", 10}, {"reports", 10},
		},
		streams: []stream{
			{"retail", decl.Normal, 0.58, 900 * time.Millisecond, 90 * time.Millisecond, time.Minute, 0, true},
			{"plant", decl.Urgent, 0.05, 700 * time.Millisecond, 5 * time.Second, 20 * time.Second, 0, false},
			{"plant", decl.Normal, 0.06, 1500 * time.Millisecond, time.Second, time.Minute, 0, true},
			{"buyers", decl.Urgent, 0.06, 300 * time.Millisecond, time.Second, 20 * time.Second, 0, true},
			{"warehouse", decl.Normal, 0.12, 600 * time.Millisecond, 60 * time.Millisecond, time.Minute, 0, true},
			{"reprints", decl.Patient, 0.05, 20 * time.Second, 4 * time.Second, 0, 0, true},
			{"reports", decl.Normal, 0.05, 2 * time.Second, 2 * time.Second, 0, 0, true},
			{"reports", decl.Background, 0.03, 4 * time.Second, 20 * time.Second, 0, 115 * time.Second, true},
		},
		cancellingTeam: "retail",
	}
}

// hessian has two large organisations (roasters and growers), slow inspection photos, and a reconciliation (books) that is
// due before the dispatch.
func hessian() deployment {
	return deployment{
		name:                 "hessian",
		crossDataCentreDelay: 250 * time.Microsecond,
		gates:                8,
		teams: []teamWeight{
			{"roasters", 25}, {"growers", 20}, {"quotes", 20}, {"freight", 15}, {"photos", 10}, {"books", 10},
		},
		streams: []stream{
			{"roasters", decl.Normal, 0.33, 1200 * time.Millisecond, 10 * time.Second, time.Minute, 0, true},
			{"growers", decl.Normal, 0.32, 500 * time.Millisecond, 50 * time.Millisecond, time.Minute, 0, true},
			{"quotes", decl.Urgent, 0.08, 250 * time.Millisecond, 2 * time.Second, 15 * time.Second, 0, true},
			{"freight", decl.Urgent, 0.03, time.Second, 200 * time.Millisecond, 30 * time.Second, 0, false},
			{"freight", decl.Normal, 0.04, 2 * time.Second, 2 * time.Second, time.Minute, 0, false},
			{"photos", decl.Patient, 0.10, 30 * time.Second, 5 * time.Second, 0, 0, true},
			{"books", decl.Normal, 0.06, 2 * time.Second, 2 * time.Second, 0, 0, true},
			{"books", decl.Background, 0.04, 3 * time.Second, 30 * time.Second, 0, 115 * time.Second, true},
		},
		cancellingTeam: "growers",
	}
}
