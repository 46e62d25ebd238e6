package logs

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"k8s.io/klog/v2"
)

func TestSetupHonoursTheLevel(t *testing.T) {
	scenarios := []struct {
		testName string
		level    int
		expected string
	}{
		{"events only", 0, "a"},
		{"each request", 1, "ab"},
		{"details", 2, "abc"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			var out strings.Builder
			Setup(&out, "gate-1", s.level)
			klog.InfoS("a")
			klog.V(1).InfoS("b")
			klog.V(2).InfoS("c")
			got := ""
			for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
				assert.Assert(t, strings.HasPrefix(line, `{"logger"`), line)
				_, rest, _ := strings.Cut(line, `"msg":"`)
				got += rest[:1]
			}
			assert.Equal(t, got, s.expected)
		})
	}
}
