package lead

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"mangowing/core/sched"
	"mangowing/gate/ports"
)

const (
	orderTimeout      = 500 * time.Millisecond
	pollTimeoutMargin = 450 * time.Millisecond
	machineTimeout    = 3 * time.Second
	adviceTimeout     = 3 * time.Second
)

// dispatch executes an order. Its result is applied to the scheduler later.
func (t *term) dispatch(ctx context.Context, o sched.Order) {
	switch o := o.(type) {
	case sched.StartTask:
		t.dispatchStart(ctx, o)
	case sched.StopTask:
		t.callWorker(ctx, o.Worker, sched.StopResult{Order: o, Answer: sched.AnswerUnknown}, orderTimeout,
			func(ctx context.Context, to ports.Target) sched.OrderResult {
				return sched.StopResult{Order: o, Answer: t.deps.Workers.Stop(ctx, to, o, sched.FencingToken(t.epoch, o.Generation))}
			})
	case sched.ThrottleTask:
		t.callWorker(ctx, o.Worker, sched.ThrottleResult{Order: o, Answer: sched.AnswerUnknown}, orderTimeout,
			func(ctx context.Context, to ports.Target) sched.OrderResult {
				return sched.ThrottleResult{Order: o, Answer: t.deps.Workers.Throttle(ctx, to, o, sched.FencingToken(t.epoch, o.Generation))}
			})
	case sched.PollWorker:
		t.callWorker(ctx, o.Worker, sched.PollResult{Order: o, Answer: sched.AnswerUnknown}, o.MaxWait+pollTimeoutMargin,
			func(ctx context.Context, to ports.Target) sched.OrderResult { return t.poll(ctx, to, o) })
	case sched.RequestAdvice:
		t.runAsync(ctx, adviceTimeout, sched.AdviceResult{Order: o, Answer: sched.AnswerUnknown}, func(ctx context.Context) sched.OrderResult { return t.deps.Advisor.Advise(ctx, o) })
	case sched.MoveMachine:
		if !t.scheduler.CanStillMove(o) {
			t.scheduler.ApplyResult(time.Now(), sched.MoveResult{Order: o, Answer: sched.AnswerWithdrawn})
			return
		}
		t.dispatchMachineOrder(ctx, o, sched.MoveResult{Order: o, Answer: sched.AnswerUnknown}, sched.MoveResult{Order: o, Answer: sched.AnswerWithdrawn},
			func(ctx context.Context) sched.OrderResult {
				return sched.MoveResult{Order: o, Answer: t.deps.Machines.Move(ctx, o, t.epoch)}
			})
	case sched.MaintainMachine:
		if !t.scheduler.CanStillMaintain(o) {
			t.scheduler.ApplyResult(time.Now(), sched.MaintenanceResult{Order: o, Answer: sched.AnswerWithdrawn})
			return
		}
		t.dispatchMachineOrder(ctx, o, sched.MaintenanceResult{Order: o, Answer: sched.AnswerUnknown}, sched.MaintenanceResult{Order: o, Answer: sched.AnswerWithdrawn},
			func(ctx context.Context) sched.OrderResult {
				return sched.MaintenanceResult{Order: o, Answer: t.deps.Machines.Maintain(ctx, o, t.epoch)}
			})
	case sched.ReportWave:
		go t.reportWave(ctx, o)
	}
}

func (t *term) dispatchStart(ctx context.Context, o sched.StartTask) {
	if !t.scheduler.IsStartWanted(o) {
		t.scheduler.ApplyResult(time.Now(), sched.StartResult{Order: o, Answer: sched.AnswerWithdrawn})
		return
	}
	if !t.canStart() {
		t.heldOrders = append(t.heldOrders, o)
		return
	}
	dispatchedAt := time.Now()
	t.callWorker(ctx, o.Worker, sched.StartResult{Order: o, Answer: sched.AnswerUnknown}, orderTimeout,
		func(ctx context.Context, to ports.Target) sched.OrderResult {
			return ifAllowed(t.canStart, sched.StartResult{Order: o, Answer: sched.AnswerWithdrawn}, func() sched.OrderResult {
				res := t.deps.Workers.Start(ctx, to, o, sched.FencingToken(t.epoch, o.Generation))
				res.Latency = time.Since(dispatchedAt)
				return res
			})
		})
}

// ifAllowed calls send if this gate may order right now, else the result is withdrawn. The process may have been paused since the order
// was dispatched, and have lost the ownership.
func ifAllowed(canOrder func() bool, withdrawn sched.OrderResult, send func() sched.OrderResult) sched.OrderResult {
	if !canOrder() {
		return withdrawn
	}
	return send()
}

// poll polls a worker. An owner that has not reached the log for long renews no leases.
func (t *term) poll(ctx context.Context, to ports.Target, o sched.PollWorker) sched.OrderResult {
	request := o
	if !t.deps.Elector.CanRenew() {
		request.Lease = 0
	}
	res := t.deps.Workers.Poll(ctx, to, request, sched.FencingToken(t.epoch, o.Generation))
	res.Order = o
	return res
}

func (t *term) dispatchMachineOrder(ctx context.Context, o sched.Order, noAnswer, withdrawn sched.OrderResult, f func(context.Context) sched.OrderResult) {
	if !t.deps.Elector.CanOrder() {
		t.heldOrders = append(t.heldOrders, o)
		return
	}
	t.runAsync(ctx, machineTimeout, noAnswer, func(ctx context.Context) sched.OrderResult {
		return ifAllowed(t.deps.Elector.CanOrder, withdrawn, func() sched.OrderResult { return f(ctx) })
	})
}

// callWorker calls a worker. If its address is unknown, the result is noAnswer.
func (t *term) callWorker(ctx context.Context, id string, noAnswer sched.OrderResult, timeout time.Duration, f func(context.Context, ports.Target) sched.OrderResult) {
	to, known := t.targets[id]
	if !known {
		go func() { t.sendResult(ctx, noAnswer) }()
		return
	}
	t.runAsync(ctx, timeout, noAnswer, func(ctx context.Context) sched.OrderResult { return f(ctx, to) })
}

// runAsync executes an order in its own goroutine. If f panics, the result is noAnswer.
func (t *term) runAsync(ctx context.Context, timeout time.Duration, noAnswer sched.OrderResult, f func(context.Context) sched.OrderResult) {
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		t.sendResult(ctx, runRecovered(callCtx, noAnswer, f))
	}()
}

func runRecovered(ctx context.Context, noAnswer sched.OrderResult, f func(context.Context) sched.OrderResult) (r sched.OrderResult) {
	defer func() {
		if failure := recover(); failure != nil {
			klog.ErrorS(eris.Errorf("%v", failure), "order-panicked", "stack", string(debug.Stack()))
			r = noAnswer
		}
	}()
	return f(ctx)
}

func (t *term) sendResult(ctx context.Context, r sched.OrderResult) {
	switch r := r.(type) {
	case sched.StartResult:
		countWorkerCall("start", r.Answer)
	case sched.StopResult:
		countWorkerCall("stop", r.Answer)
	case sched.ThrottleResult:
		countWorkerCall("pace", r.Answer)
	case sched.PollResult:
		countWorkerCall("hold", r.Answer)
	case sched.AdviceResult, sched.MoveResult, sched.MaintenanceResult:
	}
	select {
	case t.results <- r:
	case <-ctx.Done():
	}
}

func (t *term) reportWave(ctx context.Context, o sched.ReportWave) {
	ctx, cancel := context.WithTimeout(ctx, machineTimeout)
	defer cancel()
	if err := t.deps.Operators.ReportWave(ctx, o.Wave, o.Completed); err != nil {
		klog.InfoS("wave-not-reported", "wave", o.Wave, "completed", o.Completed, "error", err.Error())
		return
	}
	klog.InfoS("wave-reported", "wave", o.Wave, "completed", o.Completed)
}
