package delta

import (
	"cmp"
	"slices"

	"mangowing/core/record"
)

// Difference is one section that is added, changed or removed.
type Difference struct {
	before     record.Object
	after      record.Object
	wasThere   bool
	staysThere bool
}

// Kind returns added, changed or removed.
func (d Difference) Kind() string {
	switch {
	case !d.wasThere:
		return "added"
	case !d.staysThere:
		return "removed"
	default:
		return "changed"
	}
}

// Section returns the section's heading, such as "team buyers".
func (d Difference) Section() string {
	if d.wasThere {
		return d.before.Kind() + " " + d.before.Name()
	}
	return d.after.Kind() + " " + d.after.Name()
}

// Change returns the section as it is sent to the gates: based on the revision in force, or marked as removed.
func (d Difference) Change() record.Object {
	if !d.staysThere {
		return record.NewObject(d.before.Kind(), d.before.Name(), d.before.Base()).AsRemoved()
	}
	return d.after.WithBase(d.before.Base())
}

// Line is one field that is added or removed; a changed field is two lines.
type Line struct {
	gained bool
	key    string
	value  string
}

// IsAdded reports whether the field is added; otherwise it is removed.
func (l Line) IsAdded() bool { return l.gained }

// Text returns the field as it stands in a file.
func (l Line) Text() string { return l.key + " = " + l.value }

// Lines returns the fields that differ, sorted by key; of a changed field, the removed line is first.
func (d Difference) Lines() []Line {
	var out []Line
	for i := range d.before.Len() {
		if key, value := d.before.Field(i); !has(d.after, key, value) {
			out = append(out, Line{false, key, value})
		}
	}
	for i := range d.after.Len() {
		if key, value := d.after.Field(i); !has(d.before, key, value) {
			out = append(out, Line{true, key, value})
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return cmp.Compare(a.key, b.key) })
	return out
}

// Compare returns the sections that differ between those in force and those wanted, in order of heading.
func Compare(inForce, wanted []record.Object) []Difference {
	var out []Difference
	for _, o := range wanted {
		d := Difference{after: o, staysThere: true}
		d.before, d.wasThere = find(inForce, o)
		if !d.wasThere || !sameFields(d.before, o) {
			out = append(out, d)
		}
	}
	for _, o := range inForce {
		if _, stays := find(wanted, o); !stays {
			out = append(out, Difference{before: o, wasThere: true})
		}
	}
	slices.SortFunc(out, func(a, b Difference) int { return cmp.Compare(a.Section(), b.Section()) })
	return out
}

func find(objects []record.Object, like record.Object) (record.Object, bool) {
	i := slices.IndexFunc(objects, func(o record.Object) bool { return o.Kind() == like.Kind() && o.Name() == like.Name() })
	if i < 0 {
		return record.Object{}, false
	}
	return objects[i], true
}

// sameFields tells whether both sections declare the same, in any order.
func sameFields(a, b record.Object) bool {
	if a.Len() != b.Len() {
		return false
	}
	for i := range a.Len() {
		if key, value := a.Field(i); !has(b, key, value) {
			return false
		}
	}
	return true
}

func has(o record.Object, key, value string) bool {
	for i := range o.Len() {
		if k, v := o.Field(i); k == key && v == value {
			return true
		}
	}
	return false
}
