package load

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"mangowing/core/decl"
	"mangowing/core/record"
)

// Values of the setting "repeat": how a request is made safe to repeat.
const (
	repeatNone   = "none"
	repeatTicket = "ticket"
	repeatKey    = "key"
)

// Stream describes the load of one team on one queue.
type Stream struct {
	name        string
	queue       string
	keyFile     string
	key         string
	rate        float64
	concurrency int
	runMs       int
	bodyBytes   int
	answerBytes int
	repeat      string
	idempotent  bool
	timeout     time.Duration
}

// ReadMix returns the streams of an INI file, which has a section [stream NAME] for each. The files that it names with
// key-file are read from the directory keys.
func ReadMix(path, keys string) ([]Stream, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "mix")
	}
	objects, err := decl.ReadINI(data)
	if err != nil {
		return nil, eris.Wrap(err, path)
	}
	var out []Stream
	for _, o := range objects {
		s, err := readStream(o, keys)
		if err != nil {
			return nil, eris.Wrapf(err, "%s: [%s %s]", path, o.Kind(), o.Name())
		}
		out = append(out, s)
	}
	return out, nil
}

func readStream(o record.Object, keys string) (Stream, error) {
	if o.Kind() != "stream" || o.Name() == "" {
		return Stream{}, eris.New("expected [stream NAME]")
	}
	s := Stream{name: o.Name(), concurrency: 1, repeat: repeatTicket, timeout: 10 * time.Second}
	for i := range o.Len() {
		key, value := o.Field(i)
		if err := s.set(key, strings.TrimSpace(value)); err != nil {
			return Stream{}, eris.Wrap(err, key)
		}
	}
	if s.keyFile != "" {
		key, err := ReadKey(filepath.Join(keys, s.keyFile))
		if err != nil {
			return Stream{}, eris.Wrap(err, "key-file")
		}
		s.key = key
	}
	if s.queue == "" || s.concurrency < 1 {
		return Stream{}, eris.New("expected a queue and a concurrency of at least 1")
	}
	return s, nil
}

func (s *Stream) set(key, value string) (err error) {
	switch key {
	case "queue":
		s.queue = value
	case "key-file":
		s.keyFile = value
	case "rate":
		s.rate, err = strconv.ParseFloat(value, 64)
	case "concurrency":
		s.concurrency, err = strconv.Atoi(value)
	case "run-ms":
		s.runMs, err = strconv.Atoi(value)
	case "body-bytes":
		s.bodyBytes, err = strconv.Atoi(value)
	case "answer-bytes":
		s.answerBytes, err = strconv.Atoi(value)
	case "timeout":
		s.timeout, err = time.ParseDuration(value)
	case "idempotent":
		s.idempotent = value == "yes"
	case "repeat":
		s.repeat = value
		if value != repeatNone && value != repeatTicket && value != repeatKey {
			err = fmt.Errorf("%q: expected none, ticket or key", value)
		}
	default:
		err = eris.New("unknown key")
	}
	return err
}

// ReadKey returns the key in a file, without surrounding white space.
func ReadKey(path string) (string, error) {
	data, err := os.ReadFile(path)
	return strings.TrimSpace(string(data)), err
}

// isRepeatable reports whether a request may be sent again when its outcome is unknown.
func (s *Stream) isRepeatable() bool { return s.idempotent || s.repeat != repeatNone }

// isAtMostOnce reports whether a request must not be started more than once.
func (s *Stream) isAtMostOnce() bool { return !s.idempotent || s.repeat != repeatNone }
