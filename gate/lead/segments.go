package lead

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"mangowing/core/timer"
	"mangowing/gate/ports"
	"mangowing/gate/segs"
)

const (
	// How often an append in flight is checked for a stall.
	stallCheckPeriod = 20 * time.Millisecond
	// The next partition is asked as well when the one before has not answered within this time.
	probeDelay = 100 * time.Millisecond
	// A partition that is to take the next segment must answer within this time, or within probeLatencyFactor times the latency of heartbeats.
	minProbeTime       = 400 * time.Millisecond
	probeLatencyFactor = 5
	// Partitions that are asked at a time.
	maxProbes = 4
	// The time allowed to a partition doubles with each attempt of a switch that failed, up to this many times.
	maxLimitFactor = 4
)

// errStalled means that an append has had no confirmation while the log confirmed others. Its outcome is unknown.
var errStalled = eris.New("the partition confirms no append")

// canSwitch reports whether the journal may go on on another partition.
func (j *journal) canSwitch() bool { return j.parts > 1 }

// watchStall cancels the context with errStalled once an append of the given size that has just been sent counts as stalled, in limitFactor times
// the usual limit. Time for which this process did not run doesn't count.
func (j *journal) watchStall(ctx context.Context, cancel context.CancelCauseFunc, size, limitFactor int) {
	startedAt := timer.SinceBoot()
	for lastCheck := startedAt; ; {
		timer.Sleep(ctx, stallCheckPeriod)
		if ctx.Err() != nil {
			return
		}
		now := timer.SinceBoot()
		startedAt += max(0, now-lastCheck-2*stallCheckPeriod)
		lastCheck = now
		isLogAlive, latency := j.owner.HeartbeatLatency(startedAt)
		if segs.IsStalled((now-startedAt)/time.Duration(limitFactor), size, isLogAlive, latency) {
			cancel(errStalled)
			return
		}
	}
}

// switchResult describes a switch of the journal.
type switchResult struct {
	segment  segs.Segment
	from     int
	reason   string // "rejected" or "no-answer"
	attempts int
}

// switchSegment stores a whole snapshot as the start of a new segment on another partition, which counts from then on. It is called
// after an append returned errStalled, whose records must be in the snapshot. It returns once the segment is committed, the ownership is lost, the log
// takes a record for invalid or the context ends.
func (j *journal) switchSegment(ctx context.Context, snapshot [][]byte) (switchResult, error) {
	r := switchResult{from: j.writer.Current().Partition, reason: "no-answer"}
	if errors.Is(j.lastError, ports.ErrRejected) {
		r.reason = "rejected"
	}
	if err := j.writer.GiveUp(); err != nil {
		return r, err
	}
	j.rotation.Failed(r.from, timer.SinceBoot())
	defer func() { j.limitFactor = 1 }()
	for {
		r.attempts++
		err := j.tryPartition(ctx, snapshot)
		switch {
		case err == nil:
			r.segment = j.writer.Current()
			return r, nil
		case !errors.Is(err, errStalled):
			return r, err
		case ctx.Err() != nil:
			return r, ctx.Err()
		}
		// This gate's link may be the cause, or the whole topic's latency, so that no partition would do in this time.
		j.limitFactor = min(2*j.limitFactor, maxLimitFactor)
	}
}

// tryPartition tries to continue the journal on another partition. It fails with errStalled if the partition doesn't answer.
func (j *journal) tryPartition(ctx context.Context, snapshot [][]byte) error {
	epoch, err := j.owner.NextEpoch(ctx, j.epoch)
	if err != nil {
		return err
	}
	partition, err := j.findPartition(ctx, epoch)
	if err != nil {
		return err
	}
	header, err := j.writer.Open(partition, epoch)
	if err != nil {
		return err
	}
	if _, err := j.append(ctx, append([][]byte{header}, snapshot...)); err != nil {
		if !errors.Is(err, errStalled) {
			return err
		}
		j.rotation.Failed(partition, timer.SinceBoot())
		klog.InfoS("journal-partition-failed", "partition", partition, "epoch", epoch)
		if err := j.writer.Abandon(); err != nil {
			return err
		}
		return errStalled
	}
	next, err := j.writer.Complete()
	if err != nil {
		return err
	}
	if err := j.owner.CommitSegment(ctx, j.epoch, next); err != nil {
		return err
	}
	return j.writer.Committed()
}

// findPartition fences partitions under the epoch, one after the other and at most maxProbes, and returns the first that answers. It fails
// with errStalled if none does in time.
func (j *journal) findPartition(ctx context.Context, epoch int64) (int, error) {
	_, latency := j.owner.HeartbeatLatency(0)
	limit := max(minProbeTime, probeLatencyFactor*latency) * time.Duration(j.limitFactor)
	now := timer.SinceBoot()
	candidates := j.rotation.Candidates(j.writer.Current().Partition, now)
	candidates = candidates[:min(maxProbes, len(candidates))]
	ctx, cancel := context.WithTimeout(ctx, limit+time.Duration(len(candidates)-1)*probeDelay)
	defer cancel()
	type probe struct {
		partition int
		err       error
	}
	results := make(chan probe, len(candidates))
	for i, p := range candidates {
		go func() {
			timer.Sleep(ctx, time.Duration(i)*probeDelay)
			_, err := j.log.Append(ctx, segs.FenceAppend(p, epoch))
			results <- probe{p, err}
		}()
	}
	for range candidates {
		r := <-results
		switch {
		case r.err == nil:
			return r.partition, nil
		case errors.Is(r.err, ports.ErrFenced):
			return 0, r.err
		}
		j.rotation.Failed(r.partition, timer.SinceBoot())
	}
	if err := context.Cause(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return 0, err
	}
	timer.Sleep(ctx, appendRetryPause)
	return 0, errStalled
}
