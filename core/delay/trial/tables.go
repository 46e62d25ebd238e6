package trial

import (
	"fmt"
	"time"

	"mangowing/core/delay"
	"mangowing/core/replay"
)

// strategies are those that the tables compare, in their order.
var strategies = []struct {
	name     string
	strategy delay.Strategy
}{
	{"never wait", delay.Never{}},
	{"wait 300 ms", delay.Fixed{Delay: 300 * time.Millisecond}},
	{"wait 2 s", delay.Fixed{Delay: 2 * time.Second}},
	{"wait for ever", delay.Forever{}},
	{"by the expected end", delay.Expected{}},
}

// scenarios are the cases in which one or another strategy loses.
var scenarios = []scenario{
	{name: "as recorded, factor 1.5", factor: 1.5},
	{name: "as recorded, factor 2", factor: 2},
	{name: "as recorded, factor 3", factor: 3},
	{name: "even demand", factor: 2, rackOf: func(n int) int { return n % racks }},
	{name: "one hot rack", factor: 2, rackOf: func(n int) int { return min(n%5, 1) * (n % racks) }},
	{name: "all data on one rack", factor: 2, rackOf: func(int) int { return 0 }},
	{name: "full racks", factor: 2, speedUp: 1.35},
	{name: "a rack is lost for good", factor: 2, lostFrom: 10 * time.Second, lostUntil: time.Minute},
	{name: "a rack is silent for 3 s", factor: 2, lostFrom: 10 * time.Second, lostUntil: 13 * time.Second},
	{name: "estimates a third of the run time", factor: 2, runTimeFactor: 3, speedUp: 0.4},
	{name: "estimates twice the run time", factor: 2, runTimeFactor: 0.5, speedUp: 1.6},
	{name: "a takeover each second", factor: 2, takeovers: time.Second},
}

// Tables returns the comparisons of strategies over the fixed trace, one for each scenario.
func Tables() []replay.Table {
	trace, err := parseTrace(demandCSV)
	if err != nil {
		panic(err) // the trace is part of the program
	}
	var tables []replay.Table
	for _, s := range scenarios {
		t := replay.NewTable("Waits for a good placement: "+s.name, "strategy", "mean s", "99 % s", "in time", "of use", "near", "slot s", "waits", "in vain")
		for _, each := range strategies {
			m := replayTrace(trace, s, each.strategy)
			t.AddRow(each.name, fmt.Sprintf("%.2f", m.mean.Seconds()), fmt.Sprintf("%.2f", m.worst.Seconds()), fmt.Sprintf("%.3f", m.inTime),
				fmt.Sprintf("%.3f", m.useful), fmt.Sprintf("%.2f", m.near), fmt.Sprintf("%.0f", m.busy.Seconds()), fmt.Sprint(m.waits), fmt.Sprint(m.inVain))
		}
		tables = append(tables, t)
	}
	return tables
}
