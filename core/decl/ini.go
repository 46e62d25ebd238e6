package decl

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"gopkg.in/ini.v1"

	"mangowing/core/record"
)

// ReadDirectory returns the sections of all .ini files in a directory, in order of file name. It fails if there is no such
// file or if a section is declared twice.
func ReadDirectory(dir string) ([]record.Object, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.ini"))
	if err != nil {
		return nil, err
	}
	if len(paths) == 0 {
		return nil, fmt.Errorf("%s: no .ini files", dir)
	}
	slices.Sort(paths)
	var out []record.Object
	for _, path := range paths {
		data, err := readBounded(path)
		if err != nil {
			return nil, err
		}
		objects, err := ReadINI(data)
		if err != nil {
			return nil, newSyntaxError(path, data, err)
		}
		out = append(out, objects...)
	}
	return out, checkUniqueSections(out)
}

// maxFileBytes bounds a file of declarations; a thousand teams take about 200,000 bytes.
const maxFileBytes = 4 << 20

func readBounded(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	data, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err == nil && len(data) > maxFileBytes {
		err = fmt.Errorf("%s: more than %d bytes", path, maxFileBytes)
	}
	return data, err
}

// SyntaxError reports a file that is no INI text. Line is 0 if it isn't known.
type SyntaxError struct {
	Path string
	Line int
	err  error
}

// newSyntaxError finds the line by the text that the INI reader quotes at the end of its message.
func newSyntaxError(path string, data []byte, err error) *SyntaxError {
	fault := &SyntaxError{Path: path, err: err}
	_, quoted, isQuoted := strings.Cut(err.Error(), ": ")
	if quoted = strings.TrimSpace(quoted); !isQuoted || quoted == "" {
		return fault
	}
	n := 0
	for line := range strings.Lines(string(data)) {
		n++
		if strings.TrimSpace(line) == quoted {
			fault.Line = n
			break
		}
	}
	return fault
}

// Error returns the path and what is wrong.
func (e *SyntaxError) Error() string { return fmt.Sprintf("%s: %v", e.Path, e.err) }

// Unwrap returns what is wrong.
func (e *SyntaxError) Unwrap() error { return e.err }

// DuplicateError reports a section that is declared twice.
type DuplicateError struct {
	Section string // kind and name
}

// Error returns the section and what is wrong.
func (e *DuplicateError) Error() string { return fmt.Sprintf("[%s]: declared twice", e.Section) }

func checkUniqueSections(objects []record.Object) error {
	seen := map[string]bool{}
	for _, o := range objects {
		section := o.Kind() + " " + o.Name()
		if seen[section] {
			return &DuplicateError{section}
		}
		seen[section] = true
	}
	return nil
}

// ReadINI returns the sections of an INI text. A section's heading holds its kind and its name. A key that is given more
// than once gives one field for each value.
func ReadINI(data []byte) ([]record.Object, error) {
	file, err := ini.LoadSources(ini.LoadOptions{
		AllowNonUniqueSections: true, AllowShadows: true, AllowDuplicateShadowValues: true, IgnoreInlineComment: true,
	}, data)
	if err != nil {
		return nil, err
	}
	var out []record.Object
	for _, section := range file.Sections() {
		if section.Name() == ini.DefaultSection {
			if len(section.Keys()) > 0 {
				return nil, fmt.Errorf("key %s stands before the first section", QuoteValue(section.Keys()[0].Name()))
			}
			continue
		}
		kind, name, _ := strings.Cut(strings.TrimSpace(section.Name()), " ")
		o := record.NewObject(kind, strings.TrimSpace(name), 0)
		for _, key := range section.Keys() {
			for _, value := range key.ValueWithShadows() {
				o = o.WithField(key.Name(), value)
			}
		}
		out = append(out, o)
	}
	return out, nil
}

// WriteINI returns the sections as INI text.
func WriteINI(objects []record.Object) []byte {
	var b strings.Builder
	for i, o := range objects {
		if i > 0 {
			b.WriteByte('\n')
		}
		fmt.Fprintf(&b, "[%s %s]\n", o.Kind(), o.Name())
		for n := range o.Len() {
			key, value := o.Field(n)
			fmt.Fprintf(&b, "%s = %s\n", key, value)
		}
	}
	return []byte(b.String())
}
