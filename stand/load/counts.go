package load

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

const (
	countsPollInterval = 100 * time.Millisecond
	countsTimeout      = 5 * time.Second
)

// Counts holds the starts and ends that the stand's workers counted.
type Counts struct {
	w countsWire
}

type countsWire struct {
	Totals struct {
		Started     int `json:"started"`
		Finished    int `json:"finished"`
		Cut         int `json:"cut"`
		OutsidePool int `json:"outside-pool"`
	} `json:"totals"`
	Teams []struct {
		Team        string `json:"team"`
		MostRunning int    `json:"most-running"`
	} `json:"teams"`
	TwoPools []struct {
		VM string `json:"vm"`
	} `json:"two-pools"`
	Leaving []struct {
		VM       string `json:"vm"`
		LatestMs int64  `json:"latest-ms"`
	} `json:"leaving"`
	Works []struct {
		ID     string `json:"id"`
		Starts int    `json:"starts"`
	} `json:"works"`
}

// ReadCounts polls the stand's counts until every started run has ended or countsTimeout has passed, and returns the last
// ones.
func ReadCounts(ctx context.Context, address string) (Counts, error) {
	deadline := time.Now().Add(countsTimeout)
	for {
		c, err := readCountsOnce(ctx, address)
		if err != nil {
			return c, err
		}
		t := c.w.Totals
		if t.Started == t.Finished+t.Cut || time.Now().After(deadline) {
			return c, nil
		}
		sleep(ctx, countsPollInterval)
	}
}

func readCountsOnce(ctx context.Context, address string) (Counts, error) {
	var c Counts
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/counts", nil)
	if err != nil {
		return c, eris.Wrap(err, "counts")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return c, eris.Wrap(err, "counts")
	}
	defer resp.Body.Close()
	return c, eris.Wrap(json.NewDecoder(resp.Body).Decode(&c.w), "counts")
}

// startsByWork returns the number of starts by work id and attempt number.
func (c Counts) startsByWork() map[string]map[int]int {
	out := make(map[string]map[int]int, len(c.w.Works))
	for _, w := range c.w.Works {
		id, attempt := parseAttemptID(w.ID)
		if out[id] == nil {
			out[id] = map[int]int{}
		}
		out[id][attempt] += w.Starts
	}
	return out
}
