package reach

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	ms        = time.Millisecond
	queryTime = 300 * ms // between two queries of other gates
	// failAt is when a scenario's fault begins and restoreAt when it ends.
	failAt, restoreAt = 10 * time.Second, 16 * time.Second
)

// links tells what answers the gate while a scenario's fault lasts. Everything answers before and afterwards.
type links struct {
	log, owner, local, remote bool // whether these answer
	localLog, remoteLog       bool // whether the log answers gates of this and of the other data centre; the owner is in the other
	gap                       time.Duration
	loss                      float64 // share of answers that are lost
	knowsNoRemote             bool
	pause                     time.Duration // of the gate's process, at failAt
}

// play feeds a detector by the rules of its callers and returns the times at which CutOff changed.
func play(l links, random *rand.Rand) (changes []time.Duration) {
	d, peer := &Detector{}, &Detector{} // this gate's, and that of a gate in the other data centre
	var lastLog, queriedAt time.Duration
	lastPeerLog := 5*time.Second - time.Duration(random.Int64N(int64(450*ms)))
	for now := 5 * time.Second; now < 20*time.Second; now += 50 * ms {
		peer.Tick(now)
		failed := now >= failAt && now < restoreAt
		if failed && now < failAt+l.pause {
			continue
		}
		up := func(link bool) bool { return !failed || link && random.Float64() >= l.loss }
		gap := 450 * ms
		if failed {
			gap = max(gap, l.gap)
		}
		if now-lastLog >= gap && up(l.log) {
			d.LogAnswered(now)
			lastLog = now
		}
		if now-lastPeerLog >= gap && (!failed || l.remoteLog || l.localLog) {
			lastPeerLog = now
			peer.LogAnswered(now)
		}
		if d.Tick(now) {
			changes = append(changes, now)
		}
		if d.LogAge(now) < QueryAfter && !d.CutOff() || now-queriedAt < queryTime {
			continue
		}
		queriedAt = now
		if !l.knowsNoRemote {
			d.PeersQueried(now)
		}
		if up(l.remote) && !l.knowsNoRemote {
			d.PeerAnswered(now, lastPeerLog, peer.LogGap(now), OtherDataCentre)
		}
		if up(l.local) {
			logAt := lastPeerLog
			if failed && !l.localLog {
				logAt = min(logAt, failAt)
			}
			d.PeerAnswered(now, logAt, peer.LogGap(now), SameDataCentre)
		}
		if up(l.owner) {
			d.OwnerAnswered(now, lastPeerLog, OtherDataCentre)
		}
	}
	return changes
}

// Guards against a gate that stays ready while it can serve nobody, against one that turns callers away though no other gate is better
// off, and against flapping.
func TestCutOffByWhatAnswers(t *testing.T) {
	scenarios := []struct {
		testName string
		links    links
		cutOff   bool
		within   time.Duration // of the cut; 0 for MaxSilence and a tick
	}{
		{"data centre cut off", links{local: true, remoteLog: true}, true, 0},
		{"gate cut off from everything", links{localLog: true, remoteLog: true}, true, 0},
		{"gate cut off from the log and the owner only", links{local: true, localLog: true, remote: true, remoteLog: true}, true, 1500 * ms},
		{"gate cut off from the log only", links{owner: true, local: true, remote: true, remoteLog: true, localLog: true}, false, 0},
		{"owner silent, log fine", links{log: true, local: true, remote: true, remoteLog: true, localLog: true}, false, 0},
		{"log down for everybody", links{owner: true, local: true, remote: true}, false, 0},
		{"log down for everybody and owner silent", links{local: true, remote: true}, false, 0},
		{"log slow for everybody", links{log: true, gap: 1400 * ms, local: true, remote: true, remoteLog: true, localLog: true}, false, 0},
		{"log silent, no other data centre known", links{knowsNoRemote: true}, false, 0},
		{"single gate cut off, no other data centre known", links{knowsNoRemote: true, local: true, localLog: true}, true, 1500 * ms},
		// Three of ten answers are lost.
		{"lossy link", links{log: true, owner: true, local: true, remote: true, remoteLog: true, localLog: true, loss: 0.3}, false, 0},
		{"process paused", links{log: true, owner: true, local: true, remote: true, remoteLog: true, localLog: true, pause: 4 * time.Second}, false, 0},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			for seed := range uint64(200) {
				changes := play(s.links, rand.New(rand.NewPCG(seed, 1)))
				if !s.cutOff {
					assert.Equal(t, len(changes), 0, "seed %d: %v", seed, changes)
					continue
				}
				assert.Equal(t, len(changes), 2, "seed %d: %v", seed, changes)
				assert.Assert(t, changes[0] <= failAt+max(s.within, MaxSilence+50*ms), "seed %d: %v", seed, changes)
				assert.Assert(t, changes[1] >= restoreAt && changes[1] <= restoreAt+50*ms, "seed %d: %v", seed, changes)
			}
		})
	}
}

// Guards against a gate that remains not ready when the log fails for the others too: then no gate is better off.
func TestLogThatFailsForEverybodyLaterEndsTheCut(t *testing.T) {
	d := &Detector{}
	var cutOff bool
	for now := time.Second; now < 10*time.Second; now += 50 * ms {
		if now <= 2*time.Second {
			d.LogAnswered(now)
		}
		d.PeerAnswered(now, min(now, 5*time.Second), 0, OtherDataCentre)
		d.Tick(now)
		cutOff = cutOff || d.CutOff()
		if now > 7500*ms {
			assert.Assert(t, !d.CutOff(), "%s", now)
		}
	}
	assert.Assert(t, cutOff)
}

// Guards against an owner that keeps its gates ready while it is cut off with them, and against a process that, after a pause, takes
// answers which wait unread for lost ones.
func TestCutWithTheOwnerAndPauseDuringSilence(t *testing.T) {
	for _, pause := range []time.Duration{0, 3 * time.Second} {
		d := &Detector{}
		for now := time.Second; now < 2700*ms; now += 50 * ms {
			d.Tick(now)
			if now <= 2*time.Second {
				d.LogAnswered(now)
				continue
			}
			d.PeersQueried(now)
			d.OwnerAnswered(now, 2*time.Second, SameDataCentre)
		}
		for now := 2700*ms + pause; now <= 3*time.Second+pause; now += 50 * ms {
			d.Tick(now)
		}
		assert.Equal(t, d.CutOff(), pause == 0, "pause %s", pause)
	}
}
