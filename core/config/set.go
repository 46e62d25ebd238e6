package config

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"mangowing/core/decl"
)

// Set is the list of a program's settings; each is bound to a field that holds the default.
type Set struct {
	entries []entry
}

type entry struct {
	section  string
	key      string
	fallback string
	expected string
	doc      string
	required bool
	assign   func(text string) error
}

// Fault is one wrong setting.
type Fault struct {
	file    string
	section string
	key     string
	text    string
}

// String returns file, section, key and what was expected.
func (f Fault) String() string {
	return fmt.Sprintf("%s: [%s] %s: %s", f.file, f.section, f.key, f.text)
}

// Error is every fault of one settings file.
type Error struct {
	faults []Fault
}

// Faults returns the faults in order of the settings.
func (e *Error) Faults() []Fault { return e.faults }

// Error returns one line for each fault.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.faults))
	for _, f := range e.faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

func (s *Set) add(e entry) { s.entries = append(s.entries, e) }

// Text binds a setting with any text.
func (s *Set) Text(section, key string, field *string, doc string) {
	s.add(entry{section, key, *field, "text", doc, false, func(v string) error {
		*field = v
		return nil
	}})
}

// Name binds a required setting with a name of letters, digits and hyphens.
func (s *Set) Name(section, key string, field *string, doc string) {
	s.add(entry{section, key, *field, "a name of letters, digits and '-'", doc, true, func(v string) error {
		if v == "" || strings.ContainsAny(v, " \t/,=[]") {
			return errors.New(decl.Quoted(v))
		}
		*field = v
		return nil
	}})
}

// Choice binds a setting that takes one of several words.
func (s *Set) Choice(section, key string, field *string, doc string, choices ...string) {
	s.add(entry{section, key, *field, "one of " + strings.Join(choices, ", "), doc, false, func(v string) error {
		for _, c := range choices {
			if v == c {
				*field = v
				return nil
			}
		}
		return errors.New(decl.Quoted(v))
	}})
}

// Address binds a required setting with an IP number and a port.
func (s *Set) Address(section, key string, field *string, doc string) {
	s.add(entry{section, key, *field, "an IP number and a port such as 127.0.0.1:7100", doc, true, func(v string) error {
		if _, err := netip.ParseAddrPort(v); err != nil {
			return errors.New(decl.Quoted(v))
		}
		*field = v
		return nil
	}})
}

// List binds a setting with items between commas.
func (s *Set) List(section, key string, field *[]string, doc string) {
	s.add(entry{section, key, strings.Join(*field, ", "), "a list with commas", doc, false, func(v string) error {
		*field = nil
		for _, item := range strings.Split(v, ",") {
			if item = strings.TrimSpace(item); item != "" {
				*field = append(*field, item)
			}
		}
		return nil
	}})
}

// Int binds a setting with a whole number from least to most.
func (s *Set) Int(section, key string, field *int, least, most int, doc string) {
	expected := fmt.Sprintf("a whole number from %d to %d", least, most)
	s.add(entry{section, key, strconv.Itoa(*field), expected, doc, false, func(v string) error {
		n, err := strconv.Atoi(v)
		if err != nil || n < least || n > most {
			return errors.New(decl.Quoted(v))
		}
		*field = n
		return nil
	}})
}

// Number binds a setting with a number from least to most.
func (s *Set) Number(section, key string, field *float64, least, most float64, doc string) {
	expected := fmt.Sprintf("a number from %g to %g", least, most)
	s.add(entry{section, key, strconv.FormatFloat(*field, 'g', -1, 64), expected, doc, false, func(v string) error {
		n, err := strconv.ParseFloat(v, 64)
		if err != nil || !(n >= least && n <= most) {
			return errors.New(decl.Quoted(v))
		}
		*field = n
		return nil
	}})
}

// Duration binds a setting with a duration from least to most.
func (s *Set) Duration(section, key string, field *time.Duration, least, most time.Duration, doc string) {
	expected := fmt.Sprintf("a duration from %s to %s", least, most)
	s.add(entry{section, key, field.String(), expected, doc, false, func(v string) error {
		d, err := time.ParseDuration(v)
		if err != nil || d < least || d > most {
			return errors.New(decl.Quoted(v))
		}
		*field = d
		return nil
	}})
}

// Load reads the file into the bound fields, or returns an *Error with every fault.
func (s *Set) Load(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return &Error{[]Fault{{path, "-", "-", "cannot be read"}}}
	}
	return s.Parse(path, data)
}

// Parse reads the INI text, named by path in faults, into the bound fields.
func (s *Set) Parse(path string, data []byte) error {
	file, err := ini.LoadSources(ini.LoadOptions{
		AllowShadows: true, AllowDuplicateShadowValues: true, IgnoreInlineComment: true,
	}, data)
	if err != nil {
		return &Error{[]Fault{{path, "-", "-", "no INI file: " + err.Error()}}}
	}
	faults := slices.Concat(s.assignAll(path, file), s.unknown(path, file), twice(path, file))
	if len(faults) > 0 {
		return &Error{faults}
	}
	return nil
}

func (s *Set) assignAll(path string, file *ini.File) []Fault {
	var faults []Fault
	for _, e := range s.entries {
		section, err := file.GetSection(e.section)
		if err != nil || !section.HasKey(e.key) {
			if e.required && e.fallback == "" {
				faults = append(faults, Fault{path, e.section, e.key, "missing, expected " + e.expected})
			}
			continue
		}
		if err := e.assign(section.Key(e.key).String()); err != nil {
			faults = append(faults, Fault{path, e.section, e.key, fmt.Sprintf("%s: expected %s", err, e.expected)})
		}
	}
	return faults
}

func (s *Set) unknown(path string, file *ini.File) []Fault {
	var faults []Fault
	known := map[string]bool{}
	var names []string
	for _, e := range s.entries {
		name := e.section + "." + e.key
		known[name] = true
		names = append(names, name)
	}
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			name := section.Name() + "." + key.Name()
			if known[name] {
				continue
			}
			near := strings.Replace(decl.Nearest(name, names), ".", "] ", 1)
			faults = append(faults, Fault{path, section.Name(), key.Name(), "unknown, the nearest known one is [" + near})
		}
	}
	return faults
}

// twice returns a fault for each key that a section gives more than once.
func twice(path string, file *ini.File) []Fault {
	var faults []Fault
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			if len(key.ValueWithShadows()) > 1 {
				faults = append(faults, Fault{path, section.Name(), key.Name(), "given twice"})
			}
		}
	}
	return faults
}

// Reference returns the settings as a Markdown table.
func (s *Set) Reference() string {
	var b strings.Builder
	b.WriteString("| section | key | default | expected | meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, e := range s.entries {
		fallback := e.fallback
		if e.required && fallback == "" {
			fallback = "(required)"
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s |\n", e.section, e.key, fallback, e.expected, e.doc)
	}
	return b.String()
}
