package logs

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestShorten(t *testing.T) {
	assert.Equal(t, Shorten(errors.New("short")), "short")
	assert.Equal(t, len(Shorten(errors.New(strings.Repeat("9", 1<<20)))), maxErrorBytes)
}
