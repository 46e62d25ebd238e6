package lead

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"mangowing/gate/ports"
)

// invalidatingLog takes every append with a record for invalid.
type invalidatingLog struct {
	ports.Log
	appends int
}

// Append fails unless the append has no records.
func (l *invalidatingLog) Append(_ context.Context, a ports.Append) (int64, error) {
	l.appends++
	if len(a.Records) > 0 {
		return 0, ports.ErrInvalid
	}
	return 0, nil
}

// Guards against an owner that repeats an append for ever that can't succeed, while nothing else is scheduled (review/1).
func TestAppendThatTheLogTakesForInvalidIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &invalidatingLog{}
		j := &journal{log: log, epoch: 1}
		assert.NilError(t, j.fence(t.Context()))
		_, err := j.append(t.Context(), [][]byte{[]byte("record")})
		assert.Assert(t, errors.Is(err, ports.ErrInvalid), "%v", err)
		assert.Equal(t, log.appends, 2)
	})
}
