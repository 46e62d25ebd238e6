package record

import "encoding/json"

// Object is one declared section: its kind, name and ordered fields, the revision that it replaces and whether it is removed.
type Object struct {
	w objectWire
}

type objectWire struct {
	Kind    string      `json:"kind"`
	Name    string      `json:"name"`
	Fields  []fieldWire `json:"fields,omitempty"`
	Base    uint64      `json:"base"`
	Removed bool        `json:"removed,omitempty"`
}

type fieldWire struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// NewObject returns a declared section that replaces the one of the given revision, 0 for a new one.
func NewObject(kind, name string, base uint64) Object {
	return Object{objectWire{Kind: kind, Name: name, Base: base}}
}

// WithField returns a copy of the object with one more field.
func (o Object) WithField(key, value string) Object {
	o.w.Fields = append(o.w.Fields[:len(o.w.Fields):len(o.w.Fields)], fieldWire{key, value})
	return o
}

// AsRemoved returns a copy of the object marked as removed.
func (o Object) AsRemoved() Object {
	o.w.Removed = true
	return o
}

// WithBase returns a copy of the object that replaces another revision.
func (o Object) WithBase(base uint64) Object {
	o.w.Base = base
	return o
}

// Kind returns the section's kind, such as "team".
func (o Object) Kind() string { return o.w.Kind }

// Name returns the section's name within its kind.
func (o Object) Name() string { return o.w.Name }

// Base returns the revision that the object replaces.
func (o Object) Base() uint64 { return o.w.Base }

// IsRemoved reports whether the section is removed.
func (o Object) IsRemoved() bool { return o.w.Removed }

// Len returns the number of fields.
func (o Object) Len() int { return len(o.w.Fields) }

// Field returns the key and value of field i.
func (o Object) Field(i int) (key, value string) {
	return o.w.Fields[i].Key, o.w.Fields[i].Value
}

// HasSameFields reports whether both objects have the same fields in the same order and are both removed or both not.
func (o Object) HasSameFields(other Object) bool {
	if o.w.Removed != other.w.Removed || len(o.w.Fields) != len(other.w.Fields) {
		return false
	}
	for i := range o.w.Fields {
		if o.w.Fields[i] != other.w.Fields[i] {
			return false
		}
	}
	return true
}

// MarshalJSON returns the object's wire form.
func (o Object) MarshalJSON() ([]byte, error) { return json.Marshal(o.w) }

// UnmarshalJSON reads the object's wire form.
func (o *Object) UnmarshalJSON(b []byte) error { return json.Unmarshal(b, &o.w) }

// Change replaces declared sections atomically.
type Change struct {
	w changeWire
}

type changeWire struct {
	Objects []Object `json:"objects"`
	Note    string   `json:"note,omitempty"`
}

// NewChange returns a change of the given sections, with the operator's note for the history.
func NewChange(objects []Object, note string) Change {
	return Change{changeWire{objects, note}}
}

// Objects returns the changed sections.
func (c Change) Objects() []Object { return c.w.Objects }

// Note returns the operator's note.
func (c Change) Note() string { return c.w.Note }

func (c Change) kind() string { return kindChange }
func (c Change) wire() any    { return c.w }
