package limits

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

const handOverRetryDelay = 50 * time.Millisecond

// HandOver stops acquiring and transfers every right to another gate as it becomes available. It returns once none is
// left, or an error if some remain for the recount that follows this gate's end.
func (s *Service) HandOver(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	for {
		left, successor := s.remainingAndSuccessor()
		switch {
		case left == 0:
			return nil
		case successor != "":
			s.handOverTo(successor)
		}
		sleep(ctx, handOverRetryDelay)
		if ctx.Err() != nil {
			return eris.Errorf("%d teams' rights were not handed over", left)
		}
	}
}

// remainingAndSuccessor returns the number of teams of which this gate still has rights, and the incarnation of a gate
// that can accept them, empty for none.
func (s *Service) remainingAndSuccessor() (teams int, successor string) {
	gates := s.localGates()
	s.mu.Lock()
	defer s.mu.Unlock()
	teams = len(s.ledger.Teams())
	for _, n := range gates {
		if n.Reachable && !n.Self && !n.Stopping && s.ledger.CanTransfer() {
			return teams, n.Incarnation
		}
	}
	return teams, ""
}

func (s *Service) handOverTo(successor string) {
	s.mu.Lock()
	transfer, ok := s.ledger.TransferAll(successor)
	s.mu.Unlock()
	if ok {
		s.send(transfer)
	}
}
