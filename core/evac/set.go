package evac

import (
	"maps"
	"slices"
	"time"
)

// Change is the begin or the end of an evacuation.
type Change struct {
	DataCentre string
	Since      time.Time // when the evacuation became known
	Ended      bool
}

// Set is the set of data centres that are evacuated. The zero value is an empty set.
type Set struct {
	since  map[string]time.Time
	offset int64 // the requests were read up to this offset
}

// Replace replaces the set by the one that was read up to the offset, and returns the changes in order of name. It changes nothing if
// requests beyond that offset are already known, since they may contradict the older set.
func (s *Set) Replace(now time.Time, dataCentres []string, offset int64) []Change {
	if offset < s.offset {
		return nil
	}
	s.offset = offset
	wanted := make(map[string]bool, len(dataCentres))
	for _, name := range dataCentres {
		wanted[name] = name != ""
	}
	var changes []Change
	for _, name := range s.Names() {
		if !wanted[name] {
			changes = append(changes, Change{DataCentre: name, Since: s.since[name], Ended: true})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(wanted)) {
		if wanted[name] && !s.Contains(name) {
			changes = append(changes, Change{DataCentre: name, Since: now})
		}
	}
	for _, c := range changes {
		s.Restore(c, offset)
	}
	return changes
}

// Restore applies a change that was read up to the offset. A change without a data centre restores the offset only.
func (s *Set) Restore(c Change, offset int64) {
	s.offset = max(s.offset, offset)
	switch {
	case c.DataCentre == "":
	case c.Ended:
		delete(s.since, c.DataCentre)
	default:
		if s.since == nil {
			s.since = map[string]time.Time{}
		}
		s.since[c.DataCentre] = c.Since
	}
}

// Contains reports whether the data centre is evacuated.
func (s *Set) Contains(dataCentre string) bool {
	_, found := s.since[dataCentre]
	return found
}

// IsEmpty reports whether no data centre is evacuated.
func (s *Set) IsEmpty() bool { return len(s.since) == 0 }

// Names returns the evacuated data centres in order of name.
func (s *Set) Names() []string { return slices.Sorted(maps.Keys(s.since)) }

// Since returns when the evacuation of the data centre became known, the zero time if it is not evacuated.
func (s *Set) Since(dataCentre string) time.Time { return s.since[dataCentre] }

// Offset returns the offset up to which the requests were read.
func (s *Set) Offset() int64 { return s.offset }
