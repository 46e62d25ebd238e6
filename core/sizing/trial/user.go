package trial

import (
	"fmt"
	"strconv"

	"mangowing/core/record"
)

// user is an organisation with a deployment of present-day size: five pools over three data centres. The last pool is the spare.
type user struct {
	name    string
	seed    uint64
	pools   []string
	weights weights
}

// weights holds the weights that the user declares for the fleet.
type weights struct {
	share   string
	moves   string
	buffer  string
	rollOut string
}

// equalShortfallWeights makes the joint policy leave no more shortfall than the threshold policy.
var equalShortfallWeights = weights{"8", "1", "1", "1"}

// withHeavyRollOut returns the weights with four times the weight of roll-out time.
func (w weights) withHeavyRollOut() weights {
	n, _ := strconv.Atoi(w.rollOut)
	w.rollOut = strconv.Itoa(4 * n)
	return w
}

func (u user) withWeights(w weights) user {
	u.weights = w
	return u
}

func userByName(name string) user {
	if name == "hessian" {
		return user{name, 2, []string{"sort", "price", "match", "freight", "admin"}, weights{"2", "8", "1", "8"}}
	}
	return user{name, 1, []string{"quote", "pour", "plan", "reprint", "office"}, weights{"8", "1", "1", "1"}}
}

func (u user) spare() string { return u.pools[len(u.pools)-1] }

func vmName(pool string, i int) string { return fmt.Sprintf("%s-%02d", pool, i+1) }

// objects returns the user's declarations for the scenario.
func (u user) objects(sc scenario) []record.Object {
	out := []record.Object{
		record.NewObject("fleet", u.name, 0).WithField("data-centres", "a, b, c").WithField("spare-pool", u.spare()).
			WithField("weight-share", u.weights.share).WithField("weight-moves", u.weights.moves).WithField("weight-buffer", u.weights.buffer).
			WithField("weight-roll-out", u.weights.rollOut),
		record.NewObject("wave", "pass", 0).WithField("min-serving", strconv.Itoa(sc.waveMinimum)).
			WithField("pace", strconv.Itoa(sc.pace)).WithField("abort-faults", strconv.Itoa(vmsPerRack)),
	}
	for _, pool := range u.pools {
		vms := fmt.Sprintf("%s-[01-%02d]", pool, sc.vmsPerPool)
		out = append(out, record.NewObject("pool", pool, 0).WithField("vms", vms).WithField("min-serving", strconv.Itoa(sc.minServing)))
	}
	return out
}
