package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"mangowing/core/codes"
	"mangowing/core/decl"
)

const (
	headerTicket         = "Mango-Ticket"
	headerIdempotencyKey = "Idempotency-Key"
	headerTimeout        = "Mango-Timeout"

	bearerPrefix = "Bearer "
	maxTimeout   = 24 * time.Hour
	dayLength    = 24 * time.Hour
	minTimeout   = time.Millisecond
)

// admission is the result of checking a request's key, queue and timeout.
type admission struct {
	team    decl.Team
	queue   decl.Queue
	timeout time.Duration
}

// admit finds the team by the request's key and checks that it may use the queue.
func (s *Server) admit(r *http.Request, queueName string) (admission, error) {
	cfg := s.states.State().Config()
	queue, ok := cfg.Queue(queueName)
	if !ok {
		return admission{}, codes.Errorf(codes.QueueUnknown, "queue %q", truncate(queueName))
	}
	name, err := s.teamOf(r, queue)
	if err != nil {
		return admission{}, err
	}
	team, ok := cfg.Team(name)
	if !ok {
		return admission{}, codes.Errorf(codes.TeamNotAllowed, "the key's team is no longer declared")
	}
	if !queue.AllowsTeam(name) {
		return admission{}, codes.Errorf(codes.TeamNotAllowed, "team %q on queue %q", name, queue.Name())
	}
	timeout, err := timeoutOf(r, team)
	return admission{team, queue, timeout}, err
}

func (s *Server) teamOf(r *http.Request, queue decl.Queue) (string, error) {
	header := r.Header.Get("Authorization")
	if header == "" && queue.IsOpen() {
		return decl.OpenTeam, nil
	}
	return s.teamOfKey(header)
}

// teamOfKey looks the key up by its hash, so that the timing of the lookup does not help to guess a key.
func (s *Server) teamOfKey(header string) (string, error) {
	key, ok := strings.CutPrefix(header, bearerPrefix)
	if !ok || key == "" {
		return "", codes.Errorf(codes.KeyMissing, "")
	}
	sum := sha256.Sum256([]byte(key))
	hash := hex.EncodeToString(sum[:])
	if s.states.IsWithdrawn(hash) {
		return "", codes.Errorf(codes.KeyWithdrawn, "")
	}
	known, ok := s.states.State().Key(hash)
	if !ok {
		return "", codes.Errorf(codes.KeyUnknown, "")
	}
	return known.Team(), nil
}

func timeoutOf(r *http.Request, team decl.Team) (time.Duration, error) {
	text := r.Header.Get(headerTimeout)
	if text == "" {
		return team.Timeout(), nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < minTimeout || d > maxTimeout {
		return 0, codes.Errorf(codes.MalformedRequest, "%s: expected a duration from %s to %s", headerTimeout, minTimeout, maxTimeout)
	}
	return d, nil
}

// latestFinish returns the next time by which the team's background work must be done, zero for none.
func latestFinish(team decl.Team, now time.Time) time.Time {
	ofDay, ok := team.LatestFinish()
	if !ok {
		return time.Time{}
	}
	finish := now.UTC().Truncate(dayLength).Add(ofDay)
	if finish.Before(now) {
		finish = finish.Add(dayLength)
	}
	return finish
}

func truncate(s string) string {
	const most = 64
	if len(s) > most {
		return s[:most]
	}
	return s
}
