package daemon

import (
	"sync"

	"mangowing/gate/daemon/state"
)

// localRights spends the data centre's allotment on this gate alone.
type localRights struct {
	control    *state.Service
	dataCentre string
	mu         sync.Mutex
	spent      map[string]int
}

// TrySpend takes one right of the team if one is left.
func (l *localRights) TrySpend(team string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.spent == nil {
		l.spent = map[string]int{}
	}
	if l.spent[team] >= l.control.State().Allotment(team, l.dataCentre) {
		return false
	}
	l.spent[team]++
	return true
}

// Return gives one right back.
func (l *localRights) Return(team string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.spent[team]--
}

// Want asks for more rights, which this stand-alone form can't get.
func (l *localRights) Want(string) {}

// Held returns what the gate holds.
func (l *localRights) Held(team string) (spent, spare int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	spent = l.spent[team]
	return spent, l.control.State().Allotment(team, l.dataCentre) - spent
}
