package fold

import (
	"time"

	"mangowing/core/codes"
	"mangowing/core/record"
)

const mostClockStep = 10 * time.Minute

// claimant is the folder's own side of the claims: their order, and one string for each holder.
type claimant struct {
	order   []claimSum
	holders map[string]string
}

func (c *claimant) intern(holder string) string {
	if known, ok := c.holders[holder]; ok {
		return known
	}
	if c.holders == nil {
		c.holders = map[string]string{}
	}
	c.holders[holder] = holder
	return holder
}

// advance moves the log's clock on to the record's, by a bounded step: one writer whose clock is far ahead moves it little.
func (f *Folder) advance(atMs int64) {
	clock := f.state.clockMs
	if clock == 0 {
		f.state.clockMs = atMs
		return
	}
	f.state.clockMs = max(clock, min(atMs, clock+mostClockStep.Milliseconds()))
}

func (f *Folder) applyClaim(r record.Record, c record.Claim) Result {
	for f.oldestClaimAge() > claimKeptMost {
		f.forgetOldestClaim()
	}
	key := claimKey(c.Team(), c.Key())
	if _, ok := f.state.claims.get(key); ok {
		return refuse(codes.AlreadyClaimed, "another claim came first")
	}
	if f.state.claims.n >= claimsMost && f.oldestClaimAge() > claimKeptLeast {
		f.forgetOldestClaim()
	}
	if f.state.claims.n >= claimsMost {
		return refuse(codes.ClaimsFull, "all claims kept are younger than "+claimKeptLeast.String())
	}
	clock := f.state.clockMs
	f.addClaim(claimEntry{
		key: key, digest: sumOf(c.Digest()), holder: c.Holder(), seq: f.state.seq,
		atMs: max(clock, min(r.AtMs(), clock+claimKeptMost.Milliseconds())),
	})
	return Result{}
}

func (f *Folder) addClaim(e claimEntry) {
	e.holder = f.claimant.intern(e.holder)
	f.state.claims.add(e)
	f.claimant.order = append(f.claimant.order, e.key)
}

// oldestClaimAge returns how long by the log's clock the oldest claim was kept, 0 for none.
func (f *Folder) oldestClaimAge() time.Duration {
	if len(f.claimant.order) == 0 {
		return 0
	}
	oldest, _ := f.state.claims.get(f.claimant.order[0])
	return time.Duration(f.state.clockMs-oldest.atMs) * time.Millisecond
}

func (f *Folder) forgetOldestClaim() {
	f.state.claims.remove(f.claimant.order[0])
	f.claimant.order = f.claimant.order[1:]
}
