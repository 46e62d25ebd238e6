package owner

import (
	"context"
	"errors"

	"mangowing/gate/ports"
)

// ProbeLog reads the topic without waiting for records, beside Follow's reads, and ignores what it reads. It returns nil if the
// log answered.
func (e *Elector) ProbeLog(ctx context.Context) error {
	e.mu.Lock()
	from := e.nextOffset
	e.mu.Unlock()
	_, err := e.log.Read(ctx, topic, 0, from, 0)
	if errors.Is(err, ports.ErrTrimmed) {
		return nil
	}
	return err
}
