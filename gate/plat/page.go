package plat

// Page is the result of a read of a stream of the log.
type Page struct {
	w pageWire
}

type pageWire struct {
	Oldest  uint64      `json:"oldest"`
	Next    uint64      `json:"next"`
	Entries []entryWire `json:"entries"`
}

type entryWire struct {
	Offset uint64 `json:"offset"`
	AtMs   int64  `json:"at-ms"`
	Data   string `json:"data"`
}

// NewPage returns a page with the given entries, for tests and fakes.
func NewPage(oldest, next uint64, entries []Entry) Page {
	w := pageWire{Oldest: oldest, Next: next}
	for _, e := range entries {
		w.Entries = append(w.Entries, e.w)
	}
	return Page{w}
}

// Oldest returns the lowest offset that the log still keeps.
func (p Page) Oldest() uint64 { return p.w.Oldest }

// Next returns the offset that the next appended entry will get.
func (p Page) Next() uint64 { return p.w.Next }

// Entries returns the entries, ordered by offset.
func (p Page) Entries() []Entry {
	out := make([]Entry, 0, len(p.w.Entries))
	for _, w := range p.w.Entries {
		out = append(out, Entry{w})
	}
	return out
}

// Entry is one entry of a stream.
type Entry struct {
	w entryWire
}

// NewEntry returns an entry, for tests and for gates that pass on entries to each other.
func NewEntry(offset uint64, atMs int64, data []byte) Entry {
	return Entry{entryWire{offset, atMs, string(data)}}
}

// Offset returns the entry's position in the stream. The first one is 1.
func (e Entry) Offset() uint64 { return e.w.Offset }

// AtMs returns the time of the append in Unix milliseconds, by the platform's clock.
func (e Entry) AtMs() int64 { return e.w.AtMs }

// Data returns the appended bytes, which are UTF-8 text.
func (e Entry) Data() []byte { return []byte(e.w.Data) }
