package fold

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mangowing/core/codes"
	"mangowing/core/record"
)

const claimBatch = 1000

// foldClaims folds the claims numbered from first up to but not including last, all written at the given time.
func foldClaims(t *testing.T, f *Folder, first, last int, atMs int64) {
	t.Helper()
	for ; first < last; first += claimBatch {
		var records []record.Record
		for i := first; i < min(first+claimBatch, last); i++ {
			records = append(records, record.New("g", atMs, record.NewClaim("buyers", "order-"+strconv.Itoa(i), "d", "gate-1")))
		}
		for _, v := range appendRecords(t, f, records...) {
			assert.Equal(t, v.Code(), codes.OK)
		}
	}
}

func appendRecords(t assert.TestingT, f *Folder, records ...record.Record) []Result {
	data, err := record.EncodeBatch(records)
	assert.NilError(t, err)
	results, err := f.Apply(f.Offset()+1, data)
	assert.NilError(t, err)
	return results
}

func claimAt(t assert.TestingT, f *Folder, key string, atMs int64) codes.Code {
	return appendRecords(t, f, record.New("g", atMs, record.NewClaim("buyers", key, "d", "gate-2")))[0].Code()
}

func TestClaimsOfAQuarterHourAreKeptAtAHundredASecond(t *testing.T) {
	const perSecond, seconds = 100, 15 * 60
	f := NewFolder()
	for second := range seconds {
		foldClaims(t, f, second*perSecond, (second+1)*perSecond, int64(second+1)*1000)
	}
	snapshot, err := f.Encode()
	assert.NilError(t, err)
	restored, err := Restore(snapshot)
	assert.NilError(t, err)
	for _, folder := range []*Folder{f, restored} {
		for _, i := range []int{0, 1, 30_000, 69_999, 89_999} {
			assert.Equal(t, claimAt(t, folder, "order-"+strconv.Itoa(i), seconds*1000), codes.AlreadyClaimed, "order %d", i)
		}
	}
	t.Logf("%d claims: snapshot of %d bytes", f.state.claims.count, len(snapshot))
}

func TestClaimsAreRefusedRatherThanRemovedEarly(t *testing.T) {
	scenarios := []struct {
		testName string
		kept     int
		after    time.Duration
		expected codes.Code
		oldest   codes.Code
		second   codes.Code
	}{
		{"room left", 10, minClaimAge, codes.OK, codes.AlreadyClaimed, codes.AlreadyClaimed},
		{"room left for a day", 10, maxClaimAge, codes.OK, codes.AlreadyClaimed, codes.AlreadyClaimed},
		{"kept for a day", 10, maxClaimAge + time.Second, codes.OK, codes.OK, codes.OK},
		{"full of young claims", maxClaims, minClaimAge, codes.ClaimsFull, codes.AlreadyClaimed, codes.AlreadyClaimed},
		{"full, the oldest kept long enough", maxClaims, minClaimAge + time.Second, codes.OK, codes.OK, codes.OK},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			f := NewFolder()
			f.state.clockMs = 1000
			for i := range s.kept {
				f.state.revision++
				f.addClaim(claimEntry{key: claimKey("buyers", "order-"+strconv.Itoa(i)), revision: f.state.revision, holder: "gate-1", atMs: 1000})
			}
			later := 1000 + s.after.Milliseconds()
			advanceClockTo(t, f, later)
			snapshot, err := f.Encode()
			assert.NilError(t, err)
			restored, err := Restore(snapshot)
			assert.NilError(t, err)
			for _, folder := range []*Folder{f, restored} {
				assert.Equal(t, claimAt(t, folder, "one more", later), s.expected)
				assert.Equal(t, claimAt(t, folder, "order-0", later), s.oldest)
				assert.Equal(t, claimAt(t, folder, "order-1", later), s.second)
			}
		})
	}
}

// advanceClockTo advances the log's clock to the given time with records that change nothing else.
func advanceClockTo(t *testing.T, f *Folder, atMs int64) {
	t.Helper()
	for f.state.clockMs < atMs {
		appendRecords(t, f, record.New("g", atMs, record.NewLease("", 0, 0)))
	}
}

func TestWriterWithAFastClockRemovesNoClaims(t *testing.T) {
	f := NewFolder()
	foldClaims(t, f, 0, 10, 1000)
	assert.Equal(t, claimAt(t, f, "from the future", 1<<62), codes.OK)
	assert.Equal(t, claimAt(t, f, "after it", 2000), codes.OK)
	assert.Equal(t, claimAt(t, f, "order-0", 2000), codes.AlreadyClaimed)
	advanceClockTo(t, f, f.state.clockMs+2*maxClaimAge.Milliseconds()+1)
	assert.Equal(t, claimAt(t, f, "from the future", f.state.clockMs), codes.OK, "claims with a time ahead of the clock expire too")
}

func TestClaimTableIsAMapWhoseCopiesStayValid(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var table, copied claimTable
		model, kept := map[claimHash]claimEntry{}, map[claimHash]claimEntry{}
		for n := range rapid.IntRange(1, 200).Draw(rt, "steps") {
			key := hashOf(strconv.Itoa(rapid.IntRange(0, 40).Draw(rt, "key")))
			_, known := model[key]
			switch {
			case known:
				table.remove(key)
				delete(model, key)
			default:
				e := claimEntry{key: key, revision: uint64(n), holder: "h", atMs: int64(n)}
				table.add(e)
				model[key] = e
			}
			if rapid.IntRange(0, 9).Draw(rt, "publish") == 0 {
				copied, kept = table, map[claimHash]claimEntry{}
				for key, e := range model {
					kept[key] = e
				}
			}
		}
		checkSameClaims(rt, &table, model)
		checkSameClaims(rt, &copied, kept)
	})
}

func checkSameClaims(rt *rapid.T, table *claimTable, model map[claimHash]claimEntry) {
	assert.Equal(rt, table.count, len(model))
	entries, err := table.pack().unpack()
	assert.NilError(rt, err)
	assert.Equal(rt, len(entries), len(model))
	for _, e := range entries {
		got, ok := table.get(e.key)
		assert.Assert(rt, ok && got == e && model[e.key] == e)
	}
}

func TestTruncatedClaimsAreRejected(t *testing.T) {
	var table claimTable
	table.add(claimEntry{key: hashOf("k"), holder: "h", revision: 300, atMs: 1 << 40})
	whole := table.pack()
	for n := 1; n < len(whole.Packed); n++ {
		_, err := claimsWire{whole.Holders, whole.Packed[:n]}.unpack()
		assert.ErrorIs(t, err, errClaims)
	}
	_, err := claimsWire{nil, whole.Packed}.unpack()
	assert.ErrorIs(t, err, errClaims)
}

func BenchmarkClaims(b *testing.B) {
	f := NewFolder()
	now := int64(1000)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range maxClaims {
		now++
		appendRecords(b, f, record.New("g", now, record.NewClaim("buyers", "order-"+strconv.Itoa(i), "d", "gate-1")))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.Run("claim-and-publish", func(b *testing.B) {
		now += minClaimAge.Milliseconds() + maxClaims
		for i := 0; b.Loop(); i++ {
			claimAt(b, f, "late-"+strconv.Itoa(i), now)
			_ = f.Publish()
		}
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/maxClaims, "heap-bytes/claim")
	})
	b.Run("encode", func(b *testing.B) {
		var size int
		for b.Loop() {
			snapshot, _ := f.Encode()
			size = len(snapshot)
		}
		b.ReportMetric(float64(size)/maxClaims, "snapshot-bytes/claim")
	})
}
