package load

import (
	"context"
	"crypto/rand"
	"fmt"
	"sync"
	"time"
)

// Run sends every stream's load for a duration, waits for the last answers and returns how each piece of work ended.
func Run(ctx context.Context, balancer *Balancer, streams []Stream, duration time.Duration) *Results {
	results := &Results{verdicts: make([][]verdict, len(streams)), streams: streams, began: time.Now()}
	stop := time.Now().Add(duration)
	run := rand.Text()[:8]
	var wg sync.WaitGroup
	for i := range streams {
		source := newSource(&streams[i], run, stop)
		for range streams[i].concurrency {
			wg.Go(func() {
				for id, ok := source.take(ctx); ok; id, ok = source.take(ctx) {
					c := caller{balancer: balancer, stream: &streams[i], id: id}
					results.add(i, c.run(ctx))
				}
			})
		}
	}
	wg.Wait()
	return results
}

// source hands out one stream's pieces of work at its rate until a time.
type source struct {
	stream *Stream
	run    string
	stop   time.Time
	mu     sync.Mutex
	n      int
	due    time.Time
}

func newSource(stream *Stream, run string, stop time.Time) *source {
	return &source{stream: stream, run: run, stop: stop, due: time.Now()}
}

// take waits for the next piece of work's turn; ok is false once the time is over.
func (s *source) take(ctx context.Context) (id string, ok bool) {
	due, n := s.reserve()
	pause(ctx, time.Until(due))
	if ctx.Err() != nil || !time.Now().Before(s.stop) {
		return "", false
	}
	return fmt.Sprintf("%s-%s-%d", s.run, s.stream.name, n), true
}

func (s *source) reserve() (due time.Time, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.n++
	due = s.due
	if s.stream.rate > 0 {
		s.due = s.due.Add(time.Duration(float64(time.Second) / s.stream.rate))
	}
	return due, s.n
}

// Results is how every piece of work ended, by stream.
type Results struct {
	streams  []Stream
	began    time.Time
	mu       sync.Mutex
	verdicts [][]verdict
}

func (r *Results) add(stream int, v verdict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.verdicts[stream] = append(r.verdicts[stream], v)
}
