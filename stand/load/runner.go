package load

import (
	"context"
	"crypto/rand"
	"fmt"
	"sync"
	"time"
)

// Run sends the load of all streams for the given duration, waits for the last answers and returns the results.
func Run(ctx context.Context, balancer *Balancer, streams []Stream, duration time.Duration) *Results {
	results := &Results{byStream: make([][]workResult, len(streams)), streams: streams, startedAt: time.Now()}
	stop := time.Now().Add(duration)
	runID := rand.Text()[:8]
	var wg sync.WaitGroup
	for i := range streams {
		source := newWorkSource(&streams[i], runID, stop)
		for range streams[i].concurrency {
			wg.Go(func() {
				for id, ok := source.next(ctx); ok; id, ok = source.next(ctx) {
					c := caller{balancer: balancer, stream: &streams[i], id: id}
					results.add(i, c.run(ctx))
				}
			})
		}
	}
	wg.Wait()
	return results
}

// workSource hands out the pieces of work of one stream, at the stream's rate, until the stop time.
type workSource struct {
	stream  *Stream
	runID   string
	stop    time.Time
	mu      sync.Mutex
	count   int
	nextDue time.Time
}

func newWorkSource(stream *Stream, runID string, stop time.Time) *workSource {
	return &workSource{stream: stream, runID: runID, stop: stop, nextDue: time.Now()}
}

// next waits until the next piece of work is due and returns its id; ok is false once the load is over.
func (s *workSource) next(ctx context.Context) (id string, ok bool) {
	due, n := s.reserve()
	sleep(ctx, time.Until(due))
	if ctx.Err() != nil || !time.Now().Before(s.stop) {
		return "", false
	}
	return fmt.Sprintf("%s-%s-%d", s.runID, s.stream.name, n), true
}

func (s *workSource) reserve() (due time.Time, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count++
	due = s.nextDue
	if s.stream.rate > 0 {
		s.nextDue = s.nextDue.Add(time.Duration(float64(time.Second) / s.stream.rate))
	}
	return due, s.count
}

// Results holds the result of every piece of work, by stream. It is safe for concurrent adds.
type Results struct {
	streams   []Stream
	startedAt time.Time
	mu        sync.Mutex
	byStream  [][]workResult
}

func (r *Results) add(stream int, result workResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byStream[stream] = append(r.byStream[stream], result)
}
