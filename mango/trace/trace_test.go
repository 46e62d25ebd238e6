package trace

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestReadReturnsLinesOfJobAndItsTasks(t *testing.T) {
	log := `{"ts":"2","process":"g1","msg":"job-taken","job":"00aa","tasks":3}
  12.5 g1 {"ts":"4","process":"g1","msg":"start-refused","task":"00aa.0.0.1","worker":"vm","why":"no-room"}
{"ts":"1","process":"g2","msg":"job-answered","job":"00aa","code":"0 ok"}
{"ts":"3","process":"g2","msg":"job-answered","job":"00ab","note":"00aa"}
no json with 00aa
{"ts":"5","process":"g2","msg":"start-refused","task":"00aab.0.0.1"}
`
	lines, err := Read(strings.NewReader(log), "00aa")
	assert.NilError(t, err)
	Sort(lines)
	var got []string
	for _, l := range lines {
		got = append(got, l.At()+" "+l.Process()+" "+l.Message()+" "+l.Details())
	}
	assert.DeepEqual(t, got, []string{
		"1 g2 job-answered code=0 ok job=00aa",
		"2 g1 job-taken job=00aa tasks=3",
		"4 g1 start-refused task=00aa.0.0.1 why=no-room worker=vm",
	})
}
