package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"mangowing/stand/worker"
)

const (
	warmUpTime    = 500 * time.Millisecond
	turns         = 2
	medianPercent = 50
	tailPercent   = 99
	maxErrorShare = 0.01
	leastRate     = 0.98
)

// Spec is what is compared and how.
type Spec struct {
	Workers     []string      // the addresses of the workers for the direct client
	Gates       []string      // the gates' addresses for callers
	Queue       string        // the queue that leads to the same workers
	Key         string        // the team's key
	Callers     int           // requests in flight at most
	RunMs       int           // how long a worker takes for a request
	BodyBytes   int           // size of a request's body
	AnswerBytes int           // size of an answer's body
	Duration    time.Duration // of each phase
}

// Comparison is the result: throughput with all callers busy, and latency at half of the direct throughput.
type Comparison struct {
	w comparisonWire
}

type comparisonWire struct {
	Rate         float64  `json:"rate"`
	Direct       sideWire `json:"direct"`
	Gate         sideWire `json:"gate"`
	Throughput   float64  `json:"throughput-ratio"`
	P50          float64  `json:"p50-ratio"`
	P99          float64  `json:"p99-ratio"`
	AddedP50Ms   float64  `json:"added-p50-ms"`
	AddedP99Ms   float64  `json:"added-p99-ms"`
	RateReached  bool     `json:"rate-reached"`
	FewErrors    bool     `json:"few-errors"`
	Milliseconds int      `json:"run-ms"`
}

type sideWire struct {
	Throughput float64 `json:"throughput"`
	Rate       float64 `json:"rate"`
	P50Ms      float64 `json:"p50-ms"`
	P99Ms      float64 `json:"p99-ms"`
	Errors     int     `json:"errors"`
}

// Compare measures both sides in turns.
func Compare(ctx context.Context, spec Spec) (*Comparison, error) {
	if len(spec.Workers) == 0 || len(spec.Gates) == 0 || spec.Callers < 1 {
		return nil, eris.New("expected workers, gates and at least one caller")
	}
	direct, gate := spec.direct(), spec.gate()
	spec.warmUp(ctx, direct)
	spec.warmUp(ctx, gate)
	directMost, gateMost := spec.inTurns(ctx, direct, gate, 0)
	rate := directMost.perSecond() / 2
	if rate == 0 {
		return nil, eris.New("the direct client got no good answer")
	}
	directHalf, gateHalf := spec.inTurns(ctx, direct, gate, rate)
	c := &Comparison{comparisonWire{
		Rate:         rate,
		Direct:       side(directMost, directHalf),
		Gate:         side(gateMost, gateHalf),
		Milliseconds: spec.RunMs,
	}}
	c.compare(gateHalf)
	return c, nil
}

func (s Spec) header() http.Header {
	header := http.Header{}
	header.Set(worker.HeaderRunMs, strconv.Itoa(s.RunMs))
	header.Set(worker.HeaderAnswerBytes, strconv.Itoa(s.AnswerBytes))
	return header
}

func (s Spec) direct() target {
	t := target{header: s.header()}
	t.header.Set(worker.HeaderTeam, "direct")
	for _, address := range s.Workers {
		t.urls = append(t.urls, "http://"+address+"/run")
	}
	return t
}

func (s Spec) gate() target {
	t := target{header: s.header(), code: "0"}
	t.header.Set("Authorization", "Bearer "+s.Key)
	for _, address := range s.Gates {
		t.urls = append(t.urls, "http://"+address+"/v1/queues/"+s.Queue+"/requests")
	}
	return t
}

func (s Spec) measure(ctx context.Context, t target, rate float64, duration time.Duration) *sample {
	p := &phase{target: t, callers: s.Callers, rate: rate, duration: duration, body: worker.Answer("", s.BodyBytes)}
	return p.run(ctx)
}

// warmUp opens connections and fills caches on one side.
func (s Spec) warmUp(ctx context.Context, t target) {
	s.measure(ctx, t, 0, min(warmUpTime, s.Duration))
}

// inTurns measures direct and gate one after the other, twice, so that a drift of the machine meets both.
func (s Spec) inTurns(ctx context.Context, direct, gate target, rate float64) (d, g *sample) {
	d, g = newSample(), newSample()
	for range turns {
		d.merge(s.measure(ctx, direct, rate, s.Duration))
		g.merge(s.measure(ctx, gate, rate, s.Duration))
	}
	return d, g
}

func side(most, half *sample) sideWire {
	return sideWire{
		Throughput: most.perSecond(),
		Rate:       half.perSecond(),
		P50Ms:      milliseconds(half.took.ValueAtPercentile(medianPercent)),
		P99Ms:      milliseconds(half.took.ValueAtPercentile(tailPercent)),
		Errors:     most.errors + half.errors,
	}
}

func milliseconds(us int64) float64 { return float64(us) / 1000 }

func (c *Comparison) compare(gateHalf *sample) {
	w := &c.w
	w.Throughput = w.Gate.Throughput / w.Direct.Throughput
	w.P50, w.P99 = w.Gate.P50Ms/w.Direct.P50Ms, w.Gate.P99Ms/w.Direct.P99Ms
	w.AddedP50Ms, w.AddedP99Ms = w.Gate.P50Ms-w.Direct.P50Ms, w.Gate.P99Ms-w.Direct.P99Ms
	w.RateReached = w.Gate.Rate >= leastRate*w.Rate
	w.FewErrors = float64(gateHalf.errors) <= maxErrorShare*float64(gateHalf.count)
}

// Sound tells whether the gates reached the rate at which latency was measured, with few errors.
func (c *Comparison) Sound() bool { return c.w.RateReached && c.w.FewErrors }

// WriteJSON writes the comparison for programs.
func (c *Comparison) WriteJSON(w io.Writer) error { return json.NewEncoder(w).Encode(c.w) }

// WriteTable writes the comparison for people.
func (c *Comparison) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "\tmost a second\trate a second\tp50 ms\tp99 ms\terrors\t")
	writeSide(t, "direct", c.w.Direct)
	writeSide(t, "gate", c.w.Gate)
	fmt.Fprintf(t, "gate/direct\t%.2f\t%.2f\t%.2f\t%.2f\t\t\n",
		c.w.Throughput, c.w.Gate.Rate/c.w.Direct.Rate, c.w.P50, c.w.P99)
	fmt.Fprintf(t, "added\t\t\t%.2f\t%.2f\t\t\n", c.w.AddedP50Ms, c.w.AddedP99Ms)
	if err := t.Flush(); err != nil {
		return err
	}
	if !c.Sound() {
		fmt.Fprintln(w, "the gates did not reach half of the direct throughput: the latencies are those of overload")
	}
	return nil
}

func writeSide(w io.Writer, name string, s sideWire) {
	fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%.2f\t%.2f\t%d\t\n", name, s.Throughput, s.Rate, s.P50Ms, s.P99Ms, s.Errors)
}
