package trial

import (
	"bytes"
	_ "embed" // for the trace
	"encoding/csv"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

//go:embed testdata/demand.csv
var demandCSV []byte

// request is a task of the trace.
type request struct {
	at       time.Duration // since the start of the trace
	rack     int           // that holds its data
	estimate time.Duration
	runTime  time.Duration // beside its data
}

// parseTrace reads lines of arrival in ms, rack, estimate in ms and run time in ms, below a heading.
func parseTrace(raw []byte) ([]request, error) {
	rows, err := csv.NewReader(bytes.NewReader(raw)).ReadAll()
	if err != nil {
		return nil, eris.Wrap(err, "trace")
	}
	var trace []request
	for line, row := range rows[min(1, len(rows)):] {
		var n [4]int
		for i, cell := range row {
			if n[i], err = strconv.Atoi(cell); err != nil {
				return nil, eris.Wrapf(err, "trace, line %d", line+2)
			}
		}
		trace = append(trace, request{ms(n[0]), n[1], ms(n[2]), ms(n[3])})
	}
	return trace, nil
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }
