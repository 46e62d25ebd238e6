package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// blockedWriter blocks every write while mu is held.
type blockedWriter struct {
	mu      sync.Mutex
	written bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(p)
}

func TestAsyncWriterNeverBlocksAndReportsDroppedLines(t *testing.T) {
	w := &blockedWriter{}
	w.mu.Lock()
	b := NewAsyncWriter(w, 2)
	began := time.Now()
	for range 20 {
		n, err := b.Write([]byte("line\n"))
		assert.NilError(t, err)
		assert.Equal(t, n, 5)
	}
	assert.Assert(t, time.Since(began) < time.Second)
	assert.Assert(t, b.Dropped() >= 17)
	w.mu.Unlock()
	b.Flush(time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	assert.Assert(t, strings.Contains(w.written.String(), `"msg":"log-lines-dropped"`))
}
