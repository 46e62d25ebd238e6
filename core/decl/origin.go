package decl

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// Origins tells where the sections and keys of a directory stand.
type Origins struct {
	lines map[place]string
}

// place is a section, or a key of it.
type place struct {
	section string
	key     string
}

// Locate returns where the sections and keys of all .ini files in a directory stand; of a key that is given twice, the
// second place.
func Locate(dir string) (Origins, error) {
	o := Origins{lines: map[place]string{}}
	paths, err := filepath.Glob(filepath.Join(dir, "*.ini"))
	if err != nil {
		return o, err
	}
	slices.Sort(paths)
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return o, err
		}
		o.add(filepath.Base(path), string(data))
	}
	return o, nil
}

func (o Origins) add(file, text string) {
	section := ""
	n := 0
	for line := range strings.Lines(text) {
		n++
		line = strings.TrimSpace(line)
		if heading, ok := strings.CutPrefix(line, "["); ok {
			heading, _, _ = strings.Cut(heading, "]")
			section = strings.Join(strings.Fields(heading), " ")
			o.lines[place{section, ""}] = fmt.Sprintf("%s:%d", file, n)
			continue
		}
		if key, _, ok := strings.Cut(line, "="); ok && !strings.ContainsAny(line[:1], ";#") {
			o.lines[place{section, strings.TrimSpace(key)}] = fmt.Sprintf("%s:%d", file, n)
		}
	}
}

// Of returns the file and the line of what is at fault, such as "teams.ini:31"; empty if it stands nowhere.
func (o Origins) Of(f Fault) string {
	if line, found := o.lines[place{f.section, f.key}]; found {
		return line
	}
	return o.lines[place{f.section, ""}]
}
