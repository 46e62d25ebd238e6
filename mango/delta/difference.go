package delta

import (
	"cmp"
	"slices"

	"mangowing/core/record"
)

// Difference is one section that is added, changed or removed by a directory.
type Difference struct {
	before     record.Object
	after      record.Object
	wasInForce bool
	isWanted   bool
}

// Kind returns added, changed or removed.
func (d Difference) Kind() string {
	switch {
	case !d.wasInForce:
		return "added"
	case !d.isWanted:
		return "removed"
	default:
		return "changed"
	}
}

// Section returns the section's heading, such as "team buyers".
func (d Difference) Section() string {
	if d.wasInForce {
		return d.before.Kind() + " " + d.before.Name()
	}
	return d.after.Kind() + " " + d.after.Name()
}

// Change returns the section as it is sent to the gates, based on the revision in force; a removed one is marked as such.
func (d Difference) Change() record.Object {
	if !d.isWanted {
		return record.NewObject(d.before.Kind(), d.before.Name(), d.before.Base()).AsRemoved()
	}
	return d.after.WithBase(d.before.Base())
}

// Line is one field that is added or removed; a changed field is two lines.
type Line struct {
	added bool
	key   string
	value string
}

// IsAdded reports whether the field is added; otherwise it is removed.
func (l Line) IsAdded() bool { return l.added }

// Text returns the field as it is written in a file.
func (l Line) Text() string { return l.key + " = " + l.value }

// Lines returns the fields that differ, sorted by key; of a changed field, the removed line is first.
func (d Difference) Lines() []Line {
	var out []Line
	for i := range d.before.Len() {
		if key, value := d.before.Field(i); !hasField(d.after, key, value) {
			out = append(out, Line{false, key, value})
		}
	}
	for i := range d.after.Len() {
		if key, value := d.after.Field(i); !hasField(d.before, key, value) {
			out = append(out, Line{true, key, value})
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return cmp.Compare(a.key, b.key) })
	return out
}

// Compare returns the differences between the sections in force and those wanted, sorted by heading.
func Compare(inForce, wanted []record.Object) []Difference {
	var out []Difference
	for _, o := range wanted {
		d := Difference{after: o, isWanted: true}
		d.before, d.wasInForce = findSection(inForce, o)
		if !d.wasInForce || !haveSameFields(d.before, o) {
			out = append(out, d)
		}
	}
	for _, o := range inForce {
		if _, stays := findSection(wanted, o); !stays {
			out = append(out, Difference{before: o, wasInForce: true})
		}
	}
	slices.SortFunc(out, func(a, b Difference) int { return cmp.Compare(a.Section(), b.Section()) })
	return out
}

func findSection(objects []record.Object, section record.Object) (record.Object, bool) {
	i := slices.IndexFunc(objects, func(o record.Object) bool { return o.Kind() == section.Kind() && o.Name() == section.Name() })
	if i < 0 {
		return record.Object{}, false
	}
	return objects[i], true
}

// haveSameFields reports whether both sections have the same fields, in any order.
func haveSameFields(a, b record.Object) bool {
	if a.Len() != b.Len() {
		return false
	}
	for i := range a.Len() {
		if key, value := a.Field(i); !hasField(b, key, value) {
			return false
		}
	}
	return true
}

func hasField(o record.Object, key, value string) bool {
	for i := range o.Len() {
		if k, v := o.Field(i); k == key && v == value {
			return true
		}
	}
	return false
}
