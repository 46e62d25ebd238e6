package peers

import (
	"encoding/json"
	"io"
)

// A decoder keeps a buffer as large as its largest message for as long as it is used, and is replaced beyond this.
const maxKeptBytes = 16 << 10

// objectStream reads and writes JSON-RPC objects as jsonrpc2.NewPlainObjectStream does, and doesn't keep the memory of large ones.
type objectStream struct {
	conn    io.Closer
	source  io.Reader
	decoder *json.Decoder
	encoder *json.Encoder
	since   int64 // bytes that the decoder had decoded before its current message
}

func newObjectStream(conn io.ReadWriteCloser) *objectStream {
	return &objectStream{conn: conn, source: conn, decoder: json.NewDecoder(conn), encoder: json.NewEncoder(conn)}
}

// ReadObject reads the next object.
func (s *objectStream) ReadObject(v any) error {
	if err := s.decoder.Decode(v); err != nil {
		return err
	}
	size := s.decoder.InputOffset() - s.since
	s.since += size
	if size > maxKeptBytes {
		s.source = io.MultiReader(s.decoder.Buffered(), s.source)
		s.decoder, s.since = json.NewDecoder(s.source), 0
	}
	return nil
}

// WriteObject writes an object. Calls must not overlap.
func (s *objectStream) WriteObject(v any) error { return s.encoder.Encode(v) }

// Close closes the connection.
func (s *objectStream) Close() error { return s.conn.Close() }
