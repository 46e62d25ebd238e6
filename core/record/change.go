package record

import "encoding/json"

// Object is one declared section: kind, name, its fields in order, the revision it replaces and whether it is removed.
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

// WithField returns the object with one more field.
func (o Object) WithField(key, value string) Object {
	o.w.Fields = append(o.w.Fields[:len(o.w.Fields):len(o.w.Fields)], fieldWire{key, value})
	return o
}

// AsRemoved returns the object marked as removed.
func (o Object) AsRemoved() Object {
	o.w.Removed = true
	return o
}

// WithBase returns the object based on another revision.
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

// IsRemoved tells whether the section is removed.
func (o Object) IsRemoved() bool { return o.w.Removed }

// Len returns the number of fields.
func (o Object) Len() int { return len(o.w.Fields) }

// Field returns key and value of field i.
func (o Object) Field(i int) (key, value string) {
	return o.w.Fields[i].Key, o.w.Fields[i].Value
}

// HasSameFields tells whether both objects declare the same.
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

// Change replaces declared sections, all of them or none.
type Change struct {
	w changeWire
}

type changeWire struct {
	Objects []Object `json:"objects"`
	Note    string   `json:"note,omitempty"`
}

// NewChange returns a change of the given sections with a note for the history.
func NewChange(objects []Object, note string) Change {
	return Change{changeWire{objects, note}}
}

// Objects returns the changed sections.
func (c Change) Objects() []Object { return c.w.Objects }

// Note returns the operator's note.
func (c Change) Note() string { return c.w.Note }

func (c Change) kind() string { return kindChange }
func (c Change) wire() any    { return c.w }
