package caller

import (
	"net/http"

	"mangowing/core/codes"
	"mangowing/gate/daemon/relay"
)

// Once keeps work that must run at most once from running twice.
type Once interface{}

// carryOut runs the request, once for all its repeats where a ticket or an idempotency key came with it.
func (s *Server) carryOut(r *http.Request, spec relay.RequestSpec, sink relay.Sink) relay.Result {
	return s.runner.Run(r.Context(), relay.NewRequest(spec), sink)
}

func (s *Server) mint(w http.ResponseWriter, _ *http.Request) {
	writeRefusal(w, "", codes.Internal, "tickets are not served yet")
}

func (s *Server) outcome(w http.ResponseWriter, _ *http.Request) {
	writeRefusal(w, "", codes.TicketUnknown, "")
}
