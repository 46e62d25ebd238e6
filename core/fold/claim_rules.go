package fold

import (
	"time"

	"mangowing/core/codes"
	"mangowing/core/record"
)

const maxClockStep = 10 * time.Minute

// claimOrder holds the claims' keys, oldest first, and one shared copy of each holder's name.
type claimOrder struct {
	keys    []claimHash
	holders map[string]string
}

func (c *claimOrder) intern(holder string) string {
	if known, ok := c.holders[holder]; ok {
		return known
	}
	if c.holders == nil {
		c.holders = map[string]string{}
	}
	c.holders[holder] = holder
	return holder
}

// advanceClock advances the log's clock to the record's time, by at most maxClockStep, so that one writer whose clock is
// far ahead has little effect.
func (f *Folder) advanceClock(atMs int64) {
	clock := f.state.clockMs
	if clock == 0 {
		f.state.clockMs = atMs
		return
	}
	f.state.clockMs = max(clock, min(atMs, clock+maxClockStep.Milliseconds()))
}

func (f *Folder) applyClaim(r record.Record, c record.Claim) Result {
	for f.oldestClaimAge() > maxClaimAge {
		f.removeOldestClaim()
	}
	key := claimKey(c.Team(), c.Key())
	if _, ok := f.state.claims.get(key); ok {
		return refuse(codes.AlreadyClaimed, "another claim came first")
	}
	if f.state.claims.count >= maxClaims && f.oldestClaimAge() > minClaimAge {
		f.removeOldestClaim()
	}
	if f.state.claims.count >= maxClaims {
		return refuse(codes.ClaimsFull, "all claims kept are younger than "+minClaimAge.String())
	}
	clock := f.state.clockMs
	f.addClaim(claimEntry{
		key: key, digest: hashOf(c.Digest()), holder: c.Holder(), revision: f.state.revision,
		atMs: max(clock, min(r.AtMs(), clock+maxClaimAge.Milliseconds())),
	})
	return Result{}
}

func (f *Folder) addClaim(e claimEntry) {
	e.holder = f.claimOrder.intern(e.holder)
	f.state.claims.add(e)
	f.claimOrder.keys = append(f.claimOrder.keys, e.key)
}

// oldestClaimAge returns the age of the oldest claim by the log's clock, 0 if there are no claims.
func (f *Folder) oldestClaimAge() time.Duration {
	if len(f.claimOrder.keys) == 0 {
		return 0
	}
	oldest, _ := f.state.claims.get(f.claimOrder.keys[0])
	return time.Duration(f.state.clockMs-oldest.atMs) * time.Millisecond
}

func (f *Folder) removeOldestClaim() {
	f.state.claims.remove(f.claimOrder.keys[0])
	f.claimOrder.keys = f.claimOrder.keys[1:]
}
