package state

import (
	"context"
	"encoding/json"
	"time"

	"k8s.io/klog/v2"

	"mangowing/core/codes"
	"mangowing/core/fold"
	"mangowing/core/record"
)

const (
	methodAppend  = "state/append"
	methodInForce = "state/in-force"

	maxBatchRecords = 256
	appendTimeout   = 3 * time.Second
	retryPause      = 200 * time.Millisecond
)

type appendWire struct {
	Records []json.RawMessage `json:"records"`
}

type inForceWire struct {
	Offset uint64 `json:"offset"`
	WaitMs int64  `json:"wait-ms"`
}

type inForceAnswerWire struct {
	Offset uint64 `json:"offset"`
}

// AppendResult is the result of folding a record, with the log offset of its entry.
type AppendResult struct {
	result fold.Result
	offset uint64
}

// NewAppendResult returns the result of a record whose entry has the offset.
func NewAppendResult(r fold.Result, offset uint64) AppendResult { return AppendResult{r, offset} }

// Result returns the result of folding the record.
func (r AppendResult) Result() fold.Result { return r.result }

// Offset returns the log offset of the record's entry.
func (r AppendResult) Offset() uint64 { return r.offset }

// pendingRecord is a record that waits to be appended. done receives a value when the log has acknowledged it.
type pendingRecord struct {
	ctx  context.Context
	raw  json.RawMessage
	done chan struct{}
}

// Append appends the records to the log and returns their results once they have been read back and folded.
// After an error with the code LogUnavailable the records may still take effect later.
func (s *Service) Append(ctx context.Context, records []record.Record) ([]fold.Result, error) {
	appended, err := s.AppendWithOffsets(ctx, records)
	results := make([]fold.Result, 0, len(appended))
	for _, a := range appended {
		results = append(results, a.result)
	}
	return results, err
}

// AppendWithOffsets is like Append and also returns the log offset of each record.
func (s *Service) AppendWithOffsets(ctx context.Context, records []record.Record) ([]AppendResult, error) {
	waiters := make([]chan foldResult, len(records))
	for i, r := range records {
		waiters[i] = make(chan foldResult, 1)
		if err := s.send(ctx, awaitRecord{r.ID(), waiters[i]}); err != nil {
			return nil, codes.Errorf(codes.LogUnavailable, "stopped before the append")
		}
	}
	for _, r := range records {
		raw, err := r.Encode()
		if err != nil {
			return nil, err
		}
		if err := s.enqueue(ctx, &pendingRecord{ctx, raw, make(chan struct{}, 1)}); err != nil {
			return nil, codes.Errorf(codes.LogUnavailable, "no answer from the log")
		}
	}
	results, err := awaitResults(ctx, waiters)
	if err != nil {
		s.removeWaiters(records)
	}
	return results, err
}

func (s *Service) removeWaiters(records []record.Record) {
	for _, r := range records {
		select {
		case s.commands <- forgetRecord{r.ID()}:
		case <-time.After(retryPause):
		}
	}
}

func awaitResults(ctx context.Context, waiters []chan foldResult) ([]AppendResult, error) {
	results := make([]AppendResult, 0, len(waiters))
	for _, waiter := range waiters {
		select {
		case result := <-waiter:
			results = append(results, AppendResult(result))
		case <-ctx.Done():
			return results, codes.Errorf(codes.LogUnavailable, "no answer from the log")
		}
	}
	return results, nil
}

func (s *Service) enqueue(ctx context.Context, p *pendingRecord) error {
	select {
	case s.pending <- p:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// WriteRecords appends pending records in batches until the context ends.
func (s *Service) WriteRecords(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case first := <-s.pending:
			s.writeBatch(ctx, s.collectBatch(ctx, first))
		}
	}
}

func (s *Service) collectBatch(ctx context.Context, first *pendingRecord) []*pendingRecord {
	batch := []*pendingRecord{first}
	timeout := time.NewTimer(s.options.AppendWindow)
	defer timeout.Stop()
	for len(batch) < maxBatchRecords {
		select {
		case p := <-s.pending:
			batch = append(batch, p)
		case <-timeout.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

func (s *Service) writeBatch(ctx context.Context, batch []*pendingRecord) {
	for ctx.Err() == nil {
		batch = withoutCancelled(batch)
		if len(batch) == 0 {
			return
		}
		err := s.tryWrite(ctx, batch)
		if err == nil {
			for _, p := range batch {
				p.done <- struct{}{}
			}
			return
		}
		klog.V(1).InfoS("append-failed", "records", len(batch), "error", err.Error())
		sleep(ctx, retryPause)
	}
}

func withoutCancelled(batch []*pendingRecord) []*pendingRecord {
	var out []*pendingRecord
	for _, p := range batch {
		if p.ctx.Err() == nil {
			out = append(out, p)
		}
	}
	return out
}

// tryWrite sends the batch to the gate that appends for the data centre, or appends it itself if that fails. Both may take
// effect, since the fold applies each record id only once.
func (s *Service) tryWrite(ctx context.Context, batch []*pendingRecord) error {
	raws := make([]json.RawMessage, 0, len(batch))
	for _, p := range batch {
		raws = append(raws, p.raw)
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	appender, ok := s.view().Pick(s.ownDataCentre(), pollerKey)
	if ok && !appender.IsSelf() {
		if err := s.peers.Call(ctx, appender.Address(), methodAppend, appendWire{raws}, nil); err == nil {
			return nil
		}
	}
	data, err := json.Marshal(raws)
	if err != nil {
		return err
	}
	_, err = s.log.Append(ctx, StreamControl, data)
	return err
}

// handleAppend appends records of another gate of the data centre and answers once the log has acknowledged them.
func (s *Service) handleAppend(ctx context.Context, raw json.RawMessage) (any, error) {
	var w appendWire
	if err := json.Unmarshal(raw, &w); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	pending := make([]*pendingRecord, 0, len(w.Records))
	for _, r := range w.Records {
		p := &pendingRecord{ctx, r, make(chan struct{}, 1)}
		if err := s.enqueue(ctx, p); err != nil {
			return nil, codes.Errorf(codes.LogUnavailable, "appender is busy")
		}
		pending = append(pending, p)
	}
	for _, p := range pending {
		select {
		case <-p.done:
		case <-ctx.Done():
			return nil, codes.Errorf(codes.LogUnavailable, "no answer from the log")
		}
	}
	return struct{}{}, nil
}

// AwaitOffset waits until the offset is folded here and reports whether it is.
func (s *Service) AwaitOffset(ctx context.Context, offset uint64, wait time.Duration) bool {
	deadline := time.Now().Add(wait)
	for s.State().Offset() < offset {
		left := time.Until(deadline)
		if left <= 0 || ctx.Err() != nil {
			return false
		}
		s.tail.await(ctx, s.State().Offset()+1, 1, left)
	}
	return true
}

func (s *Service) handleInForce(ctx context.Context, raw json.RawMessage) (any, error) {
	var w inForceWire
	if err := json.Unmarshal(raw, &w); err != nil {
		return nil, err
	}
	s.AwaitOffset(ctx, w.Offset, time.Duration(w.WaitMs)*time.Millisecond)
	return inForceAnswerWire{s.State().Offset()}, nil
}
