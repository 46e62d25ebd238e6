package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"mangowing/core/codes"
	"mangowing/stand/worker"
)

const (
	retryPause    = 100 * time.Millisecond
	timeoutMargin = 2 * time.Second
	giveUpAfter   = 20 * time.Second
	lookTries     = 3
	lookPause     = 300 * time.Millisecond
)

// verdict is how one piece of work ended for its caller.
type verdict struct {
	id       string
	outcome  codes.Outcome
	code     codes.Code
	answered bool
	wrong    string
	notRunAt []int
	attempts int
	began    time.Time
	took     time.Duration
}

// reply is what one attempt brought.
type reply struct {
	broken  bool
	unsent  bool
	outcome codes.Outcome
	code    codes.Code
	wrong   string
}

// caller sends one piece of work until its outcome is known or it gives up.
type caller struct {
	balancer *Balancer
	stream   *Stream
	id       string
	ticket   string
}

func (c *caller) run(ctx context.Context) verdict {
	began := time.Now()
	v := verdict{id: c.id, began: began}
	ctx, cancel := context.WithTimeout(ctx, giveUpAfter+c.stream.timeout)
	defer cancel()
	if c.stream.repeat != repeatTicket || c.takeTicket(ctx, &v) {
		c.sendUntilSettled(ctx, &v)
	}
	v.took = time.Since(began)
	return v
}

func (c *caller) sendUntilSettled(ctx context.Context, v *verdict) {
	for ctx.Err() == nil {
		if c.settle(v, c.attempt(ctx, v.attempts)) {
			break
		}
		pause(ctx, retryPause)
	}
	for range lookTries {
		if c.ticket == "" || v.outcome != codes.Unknown {
			return
		}
		pause(ctx, lookPause)
		if r := c.look(ctx, v.attempts); r.outcome != codes.Unknown || r.wrong != "" {
			c.note(v, r, v.attempts)
		}
	}
}

// look asks what became of the ticket's request.
func (c *caller) look(ctx context.Context, n int) reply {
	ctx, cancel := context.WithTimeout(ctx, c.stream.timeout)
	defer cancel()
	return c.exchange(ctx, n, func(gate string) (*http.Request, error) {
		return c.request(ctx, http.MethodGet, "http://"+gate+"/v1/requests/"+c.ticket, nil)
	})
}

// settle notes an attempt's reply and tells whether the caller is done.
func (c *caller) settle(v *verdict, r reply) bool {
	if r.unsent {
		return false
	}
	attempt := v.attempts
	v.attempts++
	if r.broken {
		v.outcome = codes.Unknown
		if !c.stream.repeatable() {
			v.answered = true
			return true
		}
		return false
	}
	c.note(v, r, attempt)
	return !retryAtOnce(r.code) || !c.stream.repeatable()
}

func (c *caller) note(v *verdict, r reply, attempt int) {
	v.answered, v.outcome, v.code, v.wrong = true, r.outcome, r.code, r.wrong
	if r.outcome == codes.NotRun {
		v.notRunAt = append(v.notRunAt, attempt)
	}
}

// retryAtOnce tells whether a caller should send the request again through the balancer.
func retryAtOnce(c codes.Code) bool {
	switch c {
	case codes.GateNotReady, codes.GateStopping, codes.DispatcherLost, codes.StillRunning:
		return true
	default:
		return false
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// takeTicket gets a ticket, or notes the refusal that the caller accepts; ok is false if the work ends without one.
func (c *caller) takeTicket(ctx context.Context, v *verdict) (ok bool) {
	for ctx.Err() == nil {
		ticket, r := c.mint(ctx)
		if ticket != "" {
			c.ticket = ticket
			return true
		}
		if !r.unsent && !r.broken && !retryAtOnce(r.code) {
			v.answered, v.outcome, v.code, v.wrong = true, r.outcome, r.code, r.wrong
			return false
		}
		pause(ctx, retryPause)
	}
	return false
}

// mint asks for a ticket; without one the reply tells why.
func (c *caller) mint(ctx context.Context) (ticket string, r reply) {
	resp, err := c.balancer.Do(ctx, func(gate string) (*http.Request, error) {
		return c.request(ctx, http.MethodPost, "http://"+gate+"/v1/tickets", nil)
	})
	if err != nil {
		return "", reply{broken: true}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return "", stated(resp)
	}
	var answer struct {
		Ticket string `json:"ticket"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return "", reply{broken: true}
	}
	return answer.Ticket, reply{broken: answer.Ticket == ""}
}

func (c *caller) request(ctx context.Context, method, target string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if c.stream.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.stream.key)
	}
	return req, nil
}

func (c *caller) attempt(ctx context.Context, n int) reply {
	ctx, cancel := context.WithTimeout(ctx, c.stream.timeout+timeoutMargin)
	defer cancel()
	return c.exchange(ctx, n, func(gate string) (*http.Request, error) {
		req, err := c.request(ctx, http.MethodPost, "http://"+gate+"/v1/queues/"+c.stream.queue+"/requests", c.body())
		if err != nil {
			return nil, err
		}
		c.setHeaders(req.Header, n)
		return req, nil
	})
}

// exchange sends a request through the balancer and judges its answer.
func (c *caller) exchange(ctx context.Context, n int, build func(gate string) (*http.Request, error)) reply {
	resp, err := c.balancer.Do(ctx, build)
	switch {
	case errors.Is(err, errUnsent) || errors.Is(err, errNoneReady):
		return reply{unsent: true}
	case err != nil:
		return reply{broken: true}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{broken: true}
	}
	return c.judge(resp, body, n)
}

func (c *caller) body() []byte {
	return worker.Answer(c.id, c.stream.bodyBytes)
}

func (c *caller) setHeaders(header http.Header, n int) {
	header.Set("Mango-Timeout", c.stream.timeout.String())
	header.Set(worker.HeaderRunMs, strconv.Itoa(c.stream.runMs))
	header.Set(worker.HeaderAnswerBytes, strconv.Itoa(c.stream.answerBytes))
	header.Set(worker.HeaderWorkID, attemptID(c.id, n))
	switch c.stream.repeat {
	case repeatTicket:
		header.Set("Mango-Ticket", c.ticket)
	case repeatKey:
		header.Set("Idempotency-Key", c.id)
	}
}

func attemptID(id string, n int) string { return fmt.Sprintf("%s.%d", id, n) }

// judge checks that an answer names its outcome and, if the work ran, is the whole answer to one of the attempts.
func (c *caller) judge(resp *http.Response, body []byte, n int) reply {
	r := stated(resp)
	if r.wrong == "" && r.code == codes.OK && !c.isWhole(body, n) {
		r.wrong = fmt.Sprintf("answer of %d bytes is not the whole answer to %s", len(body), c.id)
	}
	return r
}

// stated returns what an answer's headers state, and what is wrong with them.
func stated(resp *http.Response) reply {
	r := reply{outcome: codes.ParseOutcome(resp.Header.Get("Mango-Outcome"))}
	number, err := strconv.ParseUint(resp.Header.Get("Mango-Code"), 10, 16)
	if err != nil {
		r.wrong = fmt.Sprintf("status %d without Mango-Code", resp.StatusCode)
		return r
	}
	r.code = codes.Code(number)
	if r.code.Entry().Outcome() != r.outcome {
		r.wrong = fmt.Sprintf("outcome %q does not go with code %s", r.outcome, r.code)
	}
	return r
}

func (c *caller) isWhole(body []byte, n int) bool {
	for attempt := range n + 1 {
		if bytes.Equal(body, worker.Answer(attemptID(c.id, attempt), c.stream.answerBytes)) {
			return true
		}
	}
	return false
}

// workOf returns the id of the work that an attempt's id belongs to, and the attempt's number.
func workOf(attempt string) (id string, n int) {
	dot := strings.LastIndexByte(attempt, '.')
	if dot < 0 {
		return attempt, 0
	}
	n, _ = strconv.Atoi(attempt[dot+1:])
	return attempt[:dot], n
}
