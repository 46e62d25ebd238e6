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

// Set holds the settings that a program accepts. Each is bound to a field, whose value at that time is the default.
type Set struct {
	settings []setting
}

type setting struct {
	section     string
	key         string
	defaultText string
	expected    string
	doc         string
	isRequired  bool
	assign      func(text string) error
}

// Fault is a validation error for one setting.
type Fault struct {
	file    string
	section string
	key     string
	text    string
}

// String returns the file, the section, the key and what is wrong.
func (f Fault) String() string {
	return fmt.Sprintf("%s: [%s] %s: %s", f.file, f.section, f.key, f.text)
}

// Error holds all faults of one settings file.
type Error struct {
	faults []Fault
}

// Faults returns the missing and invalid settings in the order in which they were bound, then unknown and repeated keys.
func (e *Error) Faults() []Fault { return e.faults }

// Error returns all faults, one per line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.faults))
	for _, f := range e.faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

func (s *Set) add(e setting) { s.settings = append(s.settings, e) }

// Text binds a setting that accepts any text.
func (s *Set) Text(section, key string, field *string, doc string) {
	s.add(setting{section, key, *field, "text", doc, false, func(v string) error {
		*field = v
		return nil
	}})
}

// Name binds a required setting that holds a name. Blanks, tabs and the characters / , = [ ] are rejected.
func (s *Set) Name(section, key string, field *string, doc string) {
	s.add(setting{section, key, *field, "a name of letters, digits and '-'", doc, true, func(v string) error {
		if v == "" || strings.ContainsAny(v, " \t/,=[]") {
			return errors.New(decl.QuoteValue(v))
		}
		*field = v
		return nil
	}})
}

// Choice binds a setting that accepts one of the given words.
func (s *Set) Choice(section, key string, field *string, doc string, choices ...string) {
	s.add(setting{section, key, *field, "one of " + strings.Join(choices, ", "), doc, false, func(v string) error {
		for _, c := range choices {
			if v == c {
				*field = v
				return nil
			}
		}
		return errors.New(decl.QuoteValue(v))
	}})
}

// Address binds a required setting that holds an IP address and a port. Host names are rejected.
func (s *Set) Address(section, key string, field *string, doc string) {
	s.add(setting{section, key, *field, "an IP number and a port such as 127.0.0.1:7100", doc, true, func(v string) error {
		if _, err := netip.ParseAddrPort(v); err != nil {
			return errors.New(decl.QuoteValue(v))
		}
		*field = v
		return nil
	}})
}

// List binds a setting that holds a comma-separated list. Empty items are dropped.
func (s *Set) List(section, key string, field *[]string, doc string) {
	s.add(setting{section, key, strings.Join(*field, ", "), "a list with commas", doc, false, func(v string) error {
		*field = nil
		for _, item := range strings.Split(v, ",") {
			if item = strings.TrimSpace(item); item != "" {
				*field = append(*field, item)
			}
		}
		return nil
	}})
}

// Int binds a setting that holds an integer from least to most, both included.
func (s *Set) Int(section, key string, field *int, least, most int, doc string) {
	expected := fmt.Sprintf("a whole number from %d to %d", least, most)
	s.add(setting{section, key, strconv.Itoa(*field), expected, doc, false, func(v string) error {
		n, err := strconv.Atoi(v)
		if err != nil || n < least || n > most {
			return errors.New(decl.QuoteValue(v))
		}
		*field = n
		return nil
	}})
}

// Number binds a setting that holds a number from least to most, both included.
func (s *Set) Number(section, key string, field *float64, least, most float64, doc string) {
	expected := fmt.Sprintf("a number from %g to %g", least, most)
	s.add(setting{section, key, strconv.FormatFloat(*field, 'g', -1, 64), expected, doc, false, func(v string) error {
		n, err := strconv.ParseFloat(v, 64)
		if err != nil || !(n >= least && n <= most) {
			return errors.New(decl.QuoteValue(v))
		}
		*field = n
		return nil
	}})
}

// Duration binds a setting that holds a duration from least to most, both included.
func (s *Set) Duration(section, key string, field *time.Duration, least, most time.Duration, doc string) {
	expected := fmt.Sprintf("a duration from %s to %s", least, most)
	s.add(setting{section, key, field.String(), expected, doc, false, func(v string) error {
		d, err := time.ParseDuration(v)
		if err != nil || d < least || d > most {
			return errors.New(decl.QuoteValue(v))
		}
		*field = d
		return nil
	}})
}

// Load reads the file into the bound fields. It returns an *Error with all faults.
func (s *Set) Load(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return &Error{[]Fault{{path, "-", "-", "cannot be read"}}}
	}
	return s.Parse(path, data)
}

// Parse reads the INI text into the bound fields. It returns an *Error with all faults, which name the text by path.
func (s *Set) Parse(path string, data []byte) error {
	file, err := ini.LoadSources(ini.LoadOptions{
		AllowShadows: true, AllowDuplicateShadowValues: true, IgnoreInlineComment: true,
	}, data)
	if err != nil {
		return &Error{[]Fault{{path, "-", "-", "no INI file: " + err.Error()}}}
	}
	faults := slices.Concat(s.assignAll(path, file), s.unknownKeyFaults(path, file), duplicateKeyFaults(path, file))
	if len(faults) > 0 {
		return &Error{faults}
	}
	return nil
}

func (s *Set) assignAll(path string, file *ini.File) []Fault {
	var faults []Fault
	for _, e := range s.settings {
		section, err := file.GetSection(e.section)
		if err != nil || !section.HasKey(e.key) {
			if e.isRequired && e.defaultText == "" {
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

func (s *Set) unknownKeyFaults(path string, file *ini.File) []Fault {
	var faults []Fault
	known := map[string]bool{}
	var names []string
	for _, e := range s.settings {
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
			closest := strings.Replace(decl.ClosestMatch(name, names), ".", "] ", 1)
			faults = append(faults, Fault{path, section.Name(), key.Name(), "unknown, the nearest known one is [" + closest})
		}
	}
	return faults
}

// duplicateKeyFaults returns a fault for each key that a section gives more than once.
func duplicateKeyFaults(path string, file *ini.File) []Fault {
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

// Reference returns a Markdown table of the settings.
func (s *Set) Reference() string {
	var b strings.Builder
	b.WriteString("| section | key | default | expected | meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, e := range s.settings {
		defaultText := e.defaultText
		if e.isRequired && defaultText == "" {
			defaultText = "(required)"
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s |\n", e.section, e.key, defaultText, e.expected, e.doc)
	}
	return b.String()
}
