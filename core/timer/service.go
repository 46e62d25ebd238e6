package timer

import (
	"context"
	"sync"
	"time"
)

const (
	maxWait = time.Hour
	// A tick that is later than this counts as a pause of the process.
	pauseThreshold = 2 * time.Second
)

// Service sends ticks to its subscribers while Serve runs. The zero value is ready to use.
type Service struct {
	mu            sync.Mutex
	subscriptions map[*Subscription]bool
	wake          chan struct{}
	pauses        uint64
}

// Subscription is one subscriber's periodic tick. A tick is dropped if the subscriber has not received the previous one.
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

// Subscribe returns a subscription that ticks each period, for the first time after one period.
func (s *Service) Subscribe(period time.Duration) *Subscription {
	sub := &Subscription{service: s, period: period, due: time.Now().Add(period), c: make(chan time.Time, 1)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ensureInitialised()
	s.subscriptions[sub] = true
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return sub
}

// RunEvery calls f once each period until the context ends and returns the context's error.
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

// Pauses returns how often a tick was late by more than two seconds because the process did not run.
func (s *Service) Pauses() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pauses
}

func (s *Service) ensureInitialised() {
	if s.subscriptions == nil {
		s.subscriptions = map[*Subscription]bool{}
		s.wake = make(chan struct{}, 1)
	}
}

// Serve sends ticks until the context ends.
func (s *Service) Serve(ctx context.Context) error {
	s.mu.Lock()
	s.ensureInitialised()
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

// fire sends the due ticks and returns the time until the next one.
func (s *Service) fire(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait := maxWait
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
