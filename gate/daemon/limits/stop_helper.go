package limits

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

const handOverPause = 50 * time.Millisecond

// HandOver ends spending and gives every right to a peer as it becomes spare; it returns once none is left. An error
// means that some are left to the recount that follows this gate's end.
func (s *Service) HandOver(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	for {
		left, successor := s.leftOver()
		switch {
		case left == 0:
			return nil
		case successor != "":
			s.handOverTo(successor)
		}
		pause(ctx, handOverPause)
		if ctx.Err() != nil {
			return eris.Errorf("%d teams' rights were not handed over", left)
		}
	}
}

// leftOver returns how many teams this gate holds rights of and a gate that may take them, empty for none now.
func (s *Service) leftOver() (teams int, successor string) {
	neighbours := s.neighbours()
	s.mu.Lock()
	defer s.mu.Unlock()
	teams = len(s.ledger.Teams())
	for _, n := range neighbours {
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
