package plan

import (
	"context"

	"k8s.io/klog/v2"

	"mangowing/core/codes"
	"mangowing/core/event"
	"mangowing/core/fleet"
	"mangowing/core/record"
)

// execute appends all steps as one batch and starts the platform calls.
func (s *Service) execute(serveCtx, ctx context.Context, actions []fleet.Action) {
	var records []record.Record
	for _, action := range actions {
		switch a := action.(type) {
		case fleet.VMStep:
			records = append(records, s.newRecord(record.NewVMStep(a.Spec())))
		case fleet.WaveStep:
			records = append(records, s.newRecord(a.Record()))
		case fleet.Reboot, fleet.Reassign, fleet.Fence:
			s.calls.startCall(serveCtx, s.lease.heldUntil, a)
		}
	}
	if len(records) > 0 {
		s.appendSteps(ctx, records)
	}
}

func (s *Service) appendSteps(ctx context.Context, records []record.Record) {
	ctx, cancel := context.WithTimeout(ctx, s.lease.renewalPeriod())
	defer cancel()
	verdicts, err := s.deps.Recorder.Append(ctx, records)
	if err != nil {
		klog.InfoS("planner-steps-not-appended", "records", len(records), "error", err.Error())
		return
	}
	codeOf := make(map[string]codes.Code, len(verdicts))
	for _, v := range verdicts {
		codeOf[v.ID()] = v.Code()
	}
	for _, r := range records {
		s.logStep(r, codeOf[r.ID()])
	}
}

func (s *Service) logStep(r record.Record, code codes.Code) {
	switch body := r.Body().(type) {
	case record.VMStep:
		step := body.Spec()
		s.deps.Process.Events().Add("vm-step", event.Fields{VM: step.VM, Detail: step.State + " " + step.Target, Code: uint16(code)})
		klog.InfoS("vm-step", "vm", step.VM, "state", step.State, "target", step.Target, "wave", step.Wave, "code", uint16(code))
	case record.WaveStep:
		detail := body.Wave() + " " + body.State() + ": " + body.Reason()
		s.deps.Process.Events().Add("wave-step", event.Fields{Detail: detail, Code: uint16(code)})
		klog.InfoS("wave-step", "wave", body.Wave(), "state", body.State(), "reason", body.Reason(), "code", uint16(code))
	}
}

func (s *Service) handleAnswer(a callAnswer) {
	s.calls.recordAnswer(a)
	if a.err != nil {
		klog.InfoS("platform-call-failed", "call", a.requestID, "error", a.err.Error())
		return
	}
	s.deps.Process.Events().Add("platform-call", event.Fields{VM: a.vm, Detail: a.requestID})
	klog.InfoS("platform-call", "vm", a.vm, "call", a.requestID)
}
