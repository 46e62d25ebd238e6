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
	rounds        = 2
	medianPercent = 50
	tailPercent   = 99
	maxErrorShare = 0.01
	minRateShare  = 0.98
)

// Spec holds the parameters of a comparison.
type Spec struct {
	Workers     []string      // the workers' addresses for the direct client
	Gates       []string      // the gates' addresses for callers
	Queue       string        // the queue whose upstreams are these workers
	Key         string        // the team's API key
	Callers     int           // maximum number of requests in flight
	RunMs       int           // how long a worker takes for a request, in milliseconds
	BodyBytes   int           // size of a request's body
	AnswerBytes int           // size of an answer's body
	Duration    time.Duration // duration of each phase
}

// Comparison holds the throughput of both sides with all callers busy, and their latency at half of the direct
// throughput.
type Comparison struct {
	w comparisonWire
}

type comparisonWire struct {
	Rate            float64  `json:"rate"`
	Direct          sideWire `json:"direct"`
	Gate            sideWire `json:"gate"`
	ThroughputRatio float64  `json:"throughput-ratio"`
	P50Ratio        float64  `json:"p50-ratio"`
	P99Ratio        float64  `json:"p99-ratio"`
	AddedP50Ms      float64  `json:"added-p50-ms"`
	AddedP99Ms      float64  `json:"added-p99-ms"`
	RateReached     bool     `json:"rate-reached"`
	FewErrors       bool     `json:"few-errors"`
	RunMs           int      `json:"run-ms"`
}

type sideWire struct {
	Throughput float64 `json:"throughput"`
	Rate       float64 `json:"rate"`
	P50Ms      float64 `json:"p50-ms"`
	P99Ms      float64 `json:"p99-ms"`
	Errors     int     `json:"errors"`
}

// Compare measures the direct client and the gates, alternately. It fails if the spec is incomplete or the direct client
// gets no successful answer.
func Compare(ctx context.Context, spec Spec) (*Comparison, error) {
	if len(spec.Workers) == 0 || len(spec.Gates) == 0 || spec.Callers < 1 {
		return nil, eris.New("expected workers, gates and at least one caller")
	}
	direct, gate := spec.directTarget(), spec.gateTarget()
	spec.warmUp(ctx, direct)
	spec.warmUp(ctx, gate)
	directMax, gateMax := spec.measureAlternately(ctx, direct, gate, 0)
	rate := directMax.perSecond() / 2
	if rate == 0 {
		return nil, eris.New("the direct client got no good answer")
	}
	directHalf, gateHalf := spec.measureAlternately(ctx, direct, gate, rate)
	c := &Comparison{comparisonWire{
		Rate:   rate,
		Direct: newSideWire(directMax, directHalf),
		Gate:   newSideWire(gateMax, gateHalf),
		RunMs:  spec.RunMs,
	}}
	c.computeRatios(gateHalf)
	return c, nil
}

func (s Spec) header() http.Header {
	header := http.Header{}
	header.Set(worker.HeaderRunMs, strconv.Itoa(s.RunMs))
	header.Set(worker.HeaderAnswerBytes, strconv.Itoa(s.AnswerBytes))
	return header
}

func (s Spec) directTarget() target {
	t := target{header: s.header()}
	t.header.Set(worker.HeaderTeam, "direct")
	for _, address := range s.Workers {
		t.urls = append(t.urls, "http://"+address+"/run")
	}
	return t
}

func (s Spec) gateTarget() target {
	t := target{header: s.header(), expectedCode: "0"}
	t.header.Set("Authorization", "Bearer "+s.Key)
	for _, address := range s.Gates {
		t.urls = append(t.urls, "http://"+address+"/v1/queues/"+s.Queue+"/requests")
	}
	return t
}

func (s Spec) measure(ctx context.Context, t target, rate float64, duration time.Duration) *measurement {
	p := &phase{target: t, callers: s.Callers, rate: rate, duration: duration, body: worker.AnswerBody("", s.BodyBytes)}
	return p.run(ctx)
}

// warmUp loads a target briefly, without recording the result, so that connections are open and caches filled.
func (s Spec) warmUp(ctx context.Context, t target) {
	s.measure(ctx, t, 0, min(warmUpTime, s.Duration))
}

// measureAlternately measures both targets one after the other, in two rounds, so that drift in the machine's speed
// affects both.
func (s Spec) measureAlternately(ctx context.Context, direct, gate target, rate float64) (directResult, gateResult *measurement) {
	directResult, gateResult = newMeasurement(), newMeasurement()
	for range rounds {
		directResult.merge(s.measure(ctx, direct, rate, s.Duration))
		gateResult.merge(s.measure(ctx, gate, rate, s.Duration))
	}
	return directResult, gateResult
}

func newSideWire(maxLoad, halfLoad *measurement) sideWire {
	return sideWire{
		Throughput: maxLoad.perSecond(),
		Rate:       halfLoad.perSecond(),
		P50Ms:      milliseconds(halfLoad.latencies.ValueAtPercentile(medianPercent)),
		P99Ms:      milliseconds(halfLoad.latencies.ValueAtPercentile(tailPercent)),
		Errors:     maxLoad.errors + halfLoad.errors,
	}
}

func milliseconds(us int64) float64 { return float64(us) / 1000 }

func (c *Comparison) computeRatios(gateHalf *measurement) {
	w := &c.w
	w.ThroughputRatio = w.Gate.Throughput / w.Direct.Throughput
	w.P50Ratio, w.P99Ratio = w.Gate.P50Ms/w.Direct.P50Ms, w.Gate.P99Ms/w.Direct.P99Ms
	w.AddedP50Ms, w.AddedP99Ms = w.Gate.P50Ms-w.Direct.P50Ms, w.Gate.P99Ms-w.Direct.P99Ms
	w.RateReached = w.Gate.Rate >= minRateShare*w.Rate
	w.FewErrors = float64(gateHalf.errors) <= maxErrorShare*float64(gateHalf.succeeded)
}

// IsValid reports whether the gates reached the rate at which latency was to be measured, with few errors. Otherwise
// their latencies are those of overload.
func (c *Comparison) IsValid() bool { return c.w.RateReached && c.w.FewErrors }

// WriteJSON writes the comparison as JSON.
func (c *Comparison) WriteJSON(w io.Writer) error { return json.NewEncoder(w).Encode(c.w) }

// WriteTable writes the comparison as a table.
func (c *Comparison) WriteTable(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "\tmost a second\trate a second\tp50 ms\tp99 ms\terrors\t")
	writeSide(tw, "direct", c.w.Direct)
	writeSide(tw, "gate", c.w.Gate)
	fmt.Fprintf(tw, "gate/direct\t%.2f\t%.2f\t%.2f\t%.2f\t\t\n",
		c.w.ThroughputRatio, c.w.Gate.Rate/c.w.Direct.Rate, c.w.P50Ratio, c.w.P99Ratio)
	fmt.Fprintf(tw, "added\t\t\t%.2f\t%.2f\t\t\n", c.w.AddedP50Ms, c.w.AddedP99Ms)
	if err := tw.Flush(); err != nil {
		return err
	}
	if !c.IsValid() {
		fmt.Fprintln(w, "the gates did not reach half of the direct throughput: the latencies are those of overload")
	}
	return nil
}

func writeSide(w io.Writer, name string, s sideWire) {
	fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%.2f\t%.2f\t%d\t\n", name, s.Throughput, s.Rate, s.P50Ms, s.P99Ms, s.Errors)
}
