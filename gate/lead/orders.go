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
	orderLimit   = 500 * time.Millisecond
	holdSlack    = 450 * time.Millisecond
	machineLimit = 3 * time.Second
	adviceLimit  = 3 * time.Second
)

// give carries an order out; its report comes back to the machine.
func (t *term) give(ctx context.Context, o sched.Order) {
	switch o := o.(type) {
	case sched.StartTask:
		t.giveStart(ctx, o)
	case sched.StopTask:
		t.toWorker(ctx, o.Worker, sched.StopResult{Order: o, Answer: sched.AnswerUnknown}, orderLimit,
			func(ctx context.Context, to ports.Target) sched.OrderResult {
				return sched.StopResult{Order: o, Answer: t.deps.Workers.Stop(ctx, to, o, t.epoch)}
			})
	case sched.ThrottleTask:
		t.toWorker(ctx, o.Worker, sched.ThrottleResult{Order: o, Answer: sched.AnswerUnknown}, orderLimit,
			func(ctx context.Context, to ports.Target) sched.OrderResult {
				return sched.ThrottleResult{Order: o, Answer: t.deps.Workers.Pace(ctx, to, o, t.epoch)}
			})
	case sched.PollWorker:
		t.toWorker(ctx, o.Worker, sched.PollResult{Order: o, Answer: sched.AnswerUnknown}, o.MaxWait+holdSlack,
			func(ctx context.Context, to ports.Target) sched.OrderResult { return t.hold(ctx, to, o) })
	case sched.RequestAdvice:
		t.spawn(ctx, adviceLimit, sched.AdviceResult{Order: o, Answer: sched.AnswerUnknown}, func(ctx context.Context) sched.OrderResult { return t.deps.Advisor.Ask(ctx, o) })
	case sched.MoveMachine:
		t.giveMachine(ctx, o, sched.MoveResult{Order: o, Answer: sched.AnswerUnknown}, func(ctx context.Context) sched.OrderResult {
			return sched.MoveResult{Order: o, Answer: t.deps.Machines.Move(ctx, o, t.epoch)}
		})
	case sched.MaintainMachine:
		if !t.machine.CanStillMaintain(o) {
			t.machine.ApplyResult(time.Now(), sched.MaintenanceResult{Order: o, Answer: sched.AnswerWithdrawn})
			return
		}
		t.giveMachine(ctx, o, sched.MaintenanceResult{Order: o, Answer: sched.AnswerUnknown}, func(ctx context.Context) sched.OrderResult {
			return sched.MaintenanceResult{Order: o, Answer: t.deps.Machines.Service(ctx, o, t.epoch)}
		})
	case sched.ReportWave:
		go t.reportWave(ctx, o)
	}
}

func (t *term) giveStart(ctx context.Context, o sched.StartTask) {
	if !t.machine.IsStartWanted(o) {
		t.machine.ApplyResult(time.Now(), sched.StartResult{Order: o, Answer: sched.AnswerWithdrawn})
		return
	}
	if !t.deps.Keeper.MayOrder() {
		t.held = append(t.held, o)
		return
	}
	given := time.Now()
	t.toWorker(ctx, o.Worker, sched.StartResult{Order: o, Answer: sched.AnswerUnknown}, orderLimit,
		func(ctx context.Context, to ports.Target) sched.OrderResult {
			if !t.deps.Keeper.MayOrder() {
				// The process did not run for a while between the order and here.
				return sched.StartResult{Order: o, Answer: sched.AnswerWithdrawn}
			}
			rep := t.deps.Workers.Start(ctx, to, o, t.epoch)
			rep.Latency = time.Since(given)
			return rep
		})
}

// hold looks at a worker; an owner that has not reached the log for long renews nothing.
func (t *term) hold(ctx context.Context, to ports.Target, o sched.PollWorker) sched.OrderResult {
	call := o
	if !t.deps.Keeper.MayRenew() {
		call.Lease = 0
	}
	rep := t.deps.Workers.Hold(ctx, to, call, t.epoch)
	rep.Order = o
	return rep
}

func (t *term) giveMachine(ctx context.Context, o sched.Order, none sched.OrderResult, f func(context.Context) sched.OrderResult) {
	if !t.deps.Keeper.MayOrder() {
		t.held = append(t.held, o)
		return
	}
	t.spawn(ctx, machineLimit, none, f)
}

// toWorker calls a worker whose address is known; else the order ends with the report for no answer.
func (t *term) toWorker(ctx context.Context, id string, none sched.OrderResult, limit time.Duration, f func(context.Context, ports.Target) sched.OrderResult) {
	to, known := t.targets[id]
	if !known {
		go func() { t.report(ctx, none) }()
		return
	}
	t.spawn(ctx, limit, none, func(ctx context.Context) sched.OrderResult { return f(ctx, to) })
}

// spawn carries an order out on a goroutine of its own; one that fails in an unexpected way ends with the report for no
// answer.
func (t *term) spawn(ctx context.Context, limit time.Duration, none sched.OrderResult, f func(context.Context) sched.OrderResult) {
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		t.report(ctx, attempt(callCtx, none, f))
	}()
}

func attempt(ctx context.Context, none sched.OrderResult, f func(context.Context) sched.OrderResult) (r sched.OrderResult) {
	defer func() {
		if failure := recover(); failure != nil {
			klog.ErrorS(eris.Errorf("%v", failure), "order-panicked", "stack", string(debug.Stack()))
			r = none
		}
	}()
	return f(ctx)
}

func (t *term) report(ctx context.Context, r sched.OrderResult) {
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
	case t.reports <- r:
	case <-ctx.Done():
	}
}

func (t *term) reportWave(ctx context.Context, o sched.ReportWave) {
	ctx, cancel := context.WithTimeout(ctx, machineLimit)
	defer cancel()
	if err := t.deps.Operators.ReportWave(ctx, o.Wave, o.Completed); err != nil {
		klog.InfoS("wave-not-reported", "wave", o.Wave, "completed", o.Completed, "error", err.Error())
		return
	}
	klog.InfoS("wave-reported", "wave", o.Wave, "completed", o.Completed)
}
