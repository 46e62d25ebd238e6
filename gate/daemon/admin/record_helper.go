package admin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"mangowing/core/codes"
	"mangowing/core/event"
	"mangowing/core/record"
	"mangowing/gate/daemon/state"
	"mangowing/gate/peers"
)

const (
	methodInForce  = "state/in-force"
	acceptTimeout  = 10 * time.Second
	inForceTimeout = 8 * time.Second
)

type recordAnswerWire struct {
	ID          string   `json:"id"`
	Code        uint16   `json:"code"`
	Name        string   `json:"name"`
	Outcome     string   `json:"outcome"`
	Detail      string   `json:"detail,omitempty"`
	Faults      []string `json:"faults,omitempty"`
	Revision    uint64   `json:"revision"`
	Offset      uint64   `json:"offset"`
	InForce     int      `json:"in-force"`
	Gates       int      `json:"gates"`
	SlowestGate string   `json:"slowest-gate,omitempty"`
	SlowestMs   int64    `json:"slowest-ms"`
}

type inForceWire struct {
	Offset uint64 `json:"offset"`
	WaitMs int64  `json:"wait-ms"`
}

type inForceAnswerWire struct {
	Offset uint64 `json:"offset"`
}

// author holds who writes a record and the id of the record. A repeated call uses the same id.
type author struct {
	ID string `json:"id"`
	By string `json:"by"`
}

func (s *Server) recordOf(a author, body record.Body) record.Record {
	by := a.By
	if by == "" {
		by = "operator"
	}
	if a.ID == "" {
		return record.New(by, s.deps.Process.NowMs(), body)
	}
	return record.NewWithID(a.ID, by, s.deps.Process.NowMs(), body)
}

// commit appends the record and answers once it is folded here and at every gate that can be reached, or their timeout has
// passed.
func (s *Server) commit(w http.ResponseWriter, r *http.Request, rec record.Record, kind string, fields event.Fields) {
	started := time.Now()
	ctx, cancel := context.WithTimeout(r.Context(), acceptTimeout)
	defer cancel()
	results, err := s.deps.Control.AppendWithOffsets(ctx, []record.Record{rec})
	if err != nil {
		s.answerUnknown(w, rec)
		return
	}
	answer := s.resultAnswer(rec, results[0])
	fields.Code = answer.Code
	s.deps.Process.Events().Add(kind, fields)
	klog.InfoS(kind, "record", rec.ID(), "by", rec.Writer(), "code", answer.Code, "offset", answer.Offset)
	if codes.Code(answer.Code) == codes.OK {
		s.awaitGates(r.Context(), started, &answer)
	}
	writeJSON(w, codes.Code(answer.Code).Entry().Status(), answer)
}

// answerUnknown answers that a record may still take effect, since its append may have succeeded.
func (s *Server) answerUnknown(w http.ResponseWriter, rec record.Record) {
	code := codes.NotYetInForce
	detail := "the platform's log did not answer; repeat the call with the same id"
	writeJSON(w, code.Entry().Status(), recordAnswerWire{
		ID: rec.ID(), Code: uint16(code), Name: code.Entry().Name(), Outcome: codes.Unknown.String(), Detail: detail,
	})
}

func (s *Server) resultAnswer(rec record.Record, appended state.AppendResult) recordAnswerWire {
	result := appended.Result()
	return recordAnswerWire{
		ID: rec.ID(), Code: uint16(result.Code()), Name: result.Code().Entry().Name(), Outcome: result.Code().Entry().Outcome().String(),
		Detail: result.Detail(), Faults: result.Faults(), Revision: s.deps.Control.State().Revision(), Offset: appended.Offset(),
	}
}

// awaitGates waits until the gates have folded the offset, counts those that have, and records the slowest.
func (s *Server) awaitGates(ctx context.Context, started time.Time, answer *recordAnswerWire) {
	view := s.deps.Members.View()
	answer.Gates = len(view.Members())
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, m := range view.Members() {
		wg.Go(func() {
			if !s.isInForceAt(ctx, view, m, answer.Offset) {
				return
			}
			elapsedMs := time.Since(started).Milliseconds()
			mu.Lock()
			defer mu.Unlock()
			answer.InForce++
			if elapsedMs >= answer.SlowestMs {
				answer.SlowestGate, answer.SlowestMs = m.Name(), elapsedMs
			}
		})
	}
	wg.Wait()
}

func (s *Server) isInForceAt(ctx context.Context, view *peers.View, m peers.Member, offset uint64) bool {
	if m.IsSelf() {
		return s.deps.Control.AwaitOffset(ctx, offset, inForceTimeout)
	}
	if !view.IsReachable(m) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	var answer inForceAnswerWire
	err := s.deps.Peers.Call(ctx, m.Address(), methodInForce, inForceWire{offset, inForceTimeout.Milliseconds()}, &answer)
	return err == nil && answer.Offset >= offset
}
