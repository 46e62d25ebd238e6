package decl

import (
	"fmt"
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
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		objects, err := ReadINI(data)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		out = append(out, objects...)
	}
	return out, checkUniqueSections(out)
}

func checkUniqueSections(objects []record.Object) error {
	seen := map[string]bool{}
	for _, o := range objects {
		section := o.Kind() + " " + o.Name()
		if seen[section] {
			return fmt.Errorf("[%s]: declared twice", section)
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
