package timer

import (
	"context"
	"sync"
	"time"
)

const (
	idleWait = time.Hour
	// A tick that is later than this means that the process did not run for a while.
	pauseThreshold = 2 * time.Second
)

// Service sends ticks to its subscribers; the zero value works once Serve runs.
type Service struct {
	mu            sync.Mutex
	subscriptions map[*Subscription]bool
	wake          chan struct{}
	pauses        uint64
}

// Subscription is one part's periodic tick; a tick that the part is too busy to take is dropped.
type Subscription struct {
	service *Service
	period  time.Duration
	due     time.Time
	c       chan time.Time
}

// C returns the channel of ticks.
func (s *Subscription) C() <-chan time.Time { return s.c }

// Close ends the ticks.
func (s *Subscription) Close() {
	s.service.mu.Lock()
	defer s.service.mu.Unlock()
	delete(s.service.subscriptions, s)
}

// Subscribe subscribes to a tick each period, the first after one period.
func (s *Service) Subscribe(period time.Duration) *Subscription {
	sub := &Subscription{service: s, period: period, due: time.Now().Add(period), c: make(chan time.Time, 1)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prepare()
	s.subscriptions[sub] = true
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return sub
}

// RunEvery calls f at every tick of the period until the context ends, and returns the context's error.
func (s *Service) RunEvery(ctx context.Context, period time.Duration, f func(ctx context.Context)) error {
	tick := s.Subscribe(period)
	defer tick.Close()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C():
			f(ctx)
		}
	}
}

// Pauses returns how often the process was found not to have run for two seconds or more.
func (s *Service) Pauses() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pauses
}

func (s *Service) prepare() {
	if s.subscriptions == nil {
		s.subscriptions = map[*Subscription]bool{}
		s.wake = make(chan struct{}, 1)
	}
}

// Serve sends ticks until the context ends.
func (s *Service) Serve(ctx context.Context) error {
	s.mu.Lock()
	s.prepare()
	wake := s.wake
	s.mu.Unlock()
	for {
		t := time.NewTimer(s.fire(time.Now()))
		select {
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case <-wake:
			t.Stop()
		case <-t.C:
		}
	}
}

// fire sends the ticks that are due and returns the time until the next one.
func (s *Service) fire(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait := idleWait
	paused := false
	for sub := range s.subscriptions {
		if late := now.Sub(sub.due); late >= 0 {
			paused = paused || late > pauseThreshold
			sub.tick(now)
		}
		wait = min(wait, sub.due.Sub(now))
	}
	if paused {
		s.pauses++
	}
	return wait
}

func (s *Subscription) tick(now time.Time) {
	s.due = s.due.Add(s.period)
	if s.due.Before(now) {
		s.due = now.Add(s.period)
	}
	select {
	case s.c <- now:
	default:
	}
}
