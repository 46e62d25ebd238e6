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
	retryWindow   = 20 * time.Second
	statusTries   = 3
	statusPause   = 300 * time.Millisecond
)

// workResult is the final result of one piece of work, as its caller sees it.
type workResult struct {
	id         string
	outcome    codes.Outcome
	code       codes.Code
	isAnswered bool
	defect     string
	notRunAt   []int
	attempts   int
	startedAt  time.Time
	latency    time.Duration
}

// reply is the result of one request.
type reply struct {
	isBroken bool
	isUnsent bool
	outcome  codes.Outcome
	code     codes.Code
	defect   string
}

// caller sends one piece of work, with retries, until its outcome is known or the retry window is over.
type caller struct {
	balancer *Balancer
	stream   *Stream
	id       string
	ticket   string
}

func (c *caller) run(ctx context.Context) workResult {
	startedAt := time.Now()
	result := workResult{id: c.id, startedAt: startedAt}
	ctx, cancel := context.WithTimeout(ctx, retryWindow+c.stream.timeout)
	defer cancel()
	if c.stream.repeat != repeatTicket || c.takeTicket(ctx, &result) {
		c.sendUntilDone(ctx, &result)
	}
	result.latency = time.Since(startedAt)
	return result
}

func (c *caller) sendUntilDone(ctx context.Context, result *workResult) {
	for ctx.Err() == nil {
		if c.recordAttempt(result, c.sendAttempt(ctx, result.attempts)) {
			break
		}
		sleep(ctx, retryPause)
	}
	for range statusTries {
		if c.ticket == "" || result.outcome != codes.Unknown {
			return
		}
		sleep(ctx, statusPause)
		if r := c.queryStatus(ctx, result.attempts); r.outcome != codes.Unknown || r.defect != "" {
			c.recordReply(result, r, result.attempts)
		}
	}
}

// queryStatus asks a gate for the outcome of the request that the ticket was used for.
func (c *caller) queryStatus(ctx context.Context, attempt int) reply {
	ctx, cancel := context.WithTimeout(ctx, c.stream.timeout)
	defer cancel()
	return c.exchange(ctx, attempt, func(gate string) (*http.Request, error) {
		return c.newRequest(ctx, http.MethodGet, "http://"+gate+"/v1/requests/"+c.ticket, nil)
	})
}

// recordAttempt records the reply of an attempt and reports whether the caller is done.
func (c *caller) recordAttempt(result *workResult, r reply) bool {
	if r.isUnsent {
		return false
	}
	attempt := result.attempts
	result.attempts++
	if r.isBroken {
		result.outcome = codes.Unknown
		if !c.stream.isRepeatable() {
			result.isAnswered = true
			return true
		}
		return false
	}
	c.recordReply(result, r, attempt)
	return !isRetryable(r.code) || !c.stream.isRepeatable()
}

func (c *caller) recordReply(result *workResult, r reply, attempt int) {
	result.isAnswered, result.outcome, result.code, result.defect = true, r.outcome, r.code, r.defect
	if r.outcome == codes.NotRun {
		result.notRunAt = append(result.notRunAt, attempt)
	}
}

// isRetryable reports whether a caller should send the request again through the balancer.
func isRetryable(c codes.Code) bool {
	switch c {
	case codes.GateNotReady, codes.GateStopping, codes.DispatcherLost, codes.StillRunning:
		return true
	default:
		return false
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// takeTicket obtains a ticket. If it is refused for good, the refusal becomes the result; ok is false if there is no
// ticket.
func (c *caller) takeTicket(ctx context.Context, result *workResult) (ok bool) {
	for ctx.Err() == nil {
		ticket, r := c.requestTicket(ctx)
		if ticket != "" {
			c.ticket = ticket
			return true
		}
		if !r.isUnsent && !r.isBroken && !isRetryable(r.code) {
			result.isAnswered, result.outcome, result.code, result.defect = true, r.outcome, r.code, r.defect
			return false
		}
		sleep(ctx, retryPause)
	}
	return false
}

// requestTicket asks for a ticket once; if there is none, the reply says why.
func (c *caller) requestTicket(ctx context.Context) (ticket string, r reply) {
	resp, err := c.balancer.Do(ctx, func(gate string) (*http.Request, error) {
		return c.newRequest(ctx, http.MethodPost, "http://"+gate+"/v1/tickets", nil)
	})
	if err != nil {
		return "", reply{isBroken: true}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return "", parseHeaders(resp)
	}
	var answer struct {
		Ticket string `json:"ticket"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return "", reply{isBroken: true}
	}
	return answer.Ticket, reply{isBroken: answer.Ticket == ""}
}

func (c *caller) newRequest(ctx context.Context, method, target string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if c.stream.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.stream.key)
	}
	return req, nil
}

func (c *caller) sendAttempt(ctx context.Context, attempt int) reply {
	ctx, cancel := context.WithTimeout(ctx, c.stream.timeout+timeoutMargin)
	defer cancel()
	return c.exchange(ctx, attempt, func(gate string) (*http.Request, error) {
		req, err := c.newRequest(ctx, http.MethodPost, "http://"+gate+"/v1/queues/"+c.stream.queue+"/requests", c.body())
		if err != nil {
			return nil, err
		}
		c.setHeaders(req.Header, attempt)
		return req, nil
	})
}

// exchange sends a request through the balancer and checks its response.
func (c *caller) exchange(ctx context.Context, attempt int, build func(gate string) (*http.Request, error)) reply {
	resp, err := c.balancer.Do(ctx, build)
	switch {
	case errors.Is(err, errNotSent) || errors.Is(err, errNoGateReady):
		return reply{isUnsent: true}
	case err != nil:
		return reply{isBroken: true}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{isBroken: true}
	}
	return c.parseReply(resp, body, attempt)
}

func (c *caller) body() []byte {
	return worker.AnswerBody(c.id, c.stream.bodyBytes)
}

func (c *caller) setHeaders(header http.Header, attempt int) {
	header.Set("Mango-Timeout", c.stream.timeout.String())
	header.Set(worker.HeaderRunMs, strconv.Itoa(c.stream.runMs))
	header.Set(worker.HeaderAnswerBytes, strconv.Itoa(c.stream.answerBytes))
	header.Set(worker.HeaderWorkID, attemptID(c.id, attempt))
	switch c.stream.repeat {
	case repeatTicket:
		header.Set("Mango-Ticket", c.ticket)
	case repeatKey:
		header.Set("Idempotency-Key", c.id)
	}
}

func attemptID(id string, n int) string { return fmt.Sprintf("%s.%d", id, n) }

// parseReply checks that a response states its outcome and, if the work ran, that the body is the whole answer to one of
// the attempts.
func (c *caller) parseReply(resp *http.Response, body []byte, attempt int) reply {
	r := parseHeaders(resp)
	if r.defect == "" && r.code == codes.OK && !c.isWhole(body, attempt) {
		r.defect = fmt.Sprintf("answer of %d bytes is not the whole answer to %s", len(body), c.id)
	}
	return r
}

// parseHeaders returns the outcome and code in a response's headers; defect is set if they are missing or contradictory.
func parseHeaders(resp *http.Response) reply {
	r := reply{outcome: codes.ParseOutcome(resp.Header.Get("Mango-Outcome"))}
	number, err := strconv.ParseUint(resp.Header.Get("Mango-Code"), 10, 16)
	if err != nil {
		r.defect = fmt.Sprintf("status %d without Mango-Code", resp.StatusCode)
		return r
	}
	r.code = codes.Code(number)
	if r.code.Entry().Outcome() != r.outcome {
		r.defect = fmt.Sprintf("outcome %q does not go with code %s", r.outcome, r.code)
	}
	return r
}

func (c *caller) isWhole(body []byte, lastAttempt int) bool {
	for attempt := range lastAttempt + 1 {
		if bytes.Equal(body, worker.AnswerBody(attemptID(c.id, attempt), c.stream.answerBytes)) {
			return true
		}
	}
	return false
}

// parseAttemptID returns the work id and the attempt number of an attempt's id.
func parseAttemptID(attempt string) (id string, n int) {
	dot := strings.LastIndexByte(attempt, '.')
	if dot < 0 {
		return attempt, 0
	}
	n, _ = strconv.Atoi(attempt[dot+1:])
	return attempt[:dot], n
}
