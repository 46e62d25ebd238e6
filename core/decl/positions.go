package decl

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"
)

// Positions maps the sections and keys of a directory's declarations to file and line.
type Positions struct {
	byKey map[declKey]position
}

type position struct {
	file string
	line int
}

func (p position) String() string { return fmt.Sprintf("%s:%d", p.file, p.line) }

// declKey identifies a key of a section, or with an empty key the section itself.
type declKey struct {
	section string
	key     string
}

// ReadPositions returns the positions of all sections and keys in a directory's .ini files. For a key that is given twice
// it is the second position.
func ReadPositions(dir string) (Positions, error) {
	positions := Positions{byKey: map[declKey]position{}}
	paths, err := filepath.Glob(filepath.Join(dir, "*.ini"))
	if err != nil {
		return positions, err
	}
	slices.Sort(paths)
	for _, path := range paths {
		data, err := readBounded(path)
		if err != nil {
			return positions, err
		}
		positions.add(filepath.Base(path), string(data))
	}
	return positions, nil
}

func (p Positions) add(file, text string) {
	section := ""
	n := 0
	for line := range strings.Lines(text) {
		n++
		line = strings.TrimSpace(line)
		if heading, ok := strings.CutPrefix(line, "["); ok {
			heading, _, _ = strings.Cut(heading, "]")
			section = strings.Join(strings.Fields(heading), " ")
			p.byKey[declKey{section, ""}] = position{file, n}
			continue
		}
		if key, _, ok := strings.Cut(line, "="); ok && !strings.ContainsAny(line[:1], ";#") {
			p.byKey[declKey{section, strings.TrimSpace(key)}] = position{file, n}
		}
	}
}

// Of returns the file and line of a fault, such as "teams.ini:31": that of the key, else that of its section, else empty.
func (p Positions) Of(f Fault) string {
	file, line := p.At(f.section, f.key)
	if line == 0 {
		return ""
	}
	return position{file, line}.String()
}

// At returns the file and line of a key, else those of its section such as "team buyers", else an empty name and 0.
func (p Positions) At(section, key string) (file string, line int) {
	found, ok := p.byKey[declKey{section, key}]
	if !ok {
		found = p.byKey[declKey{section, ""}]
	}
	return found.file, found.line
}
