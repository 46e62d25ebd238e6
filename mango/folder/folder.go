package folder

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"mangowing/core/decl"
	"mangowing/core/record"
	"mangowing/core/survey"
)

const (
	fileMode      = 0o644
	directoryMode = 0o755
)

// Directory is a deployment's directory as it was read.
type Directory struct {
	path  string
	files []file
}

type file struct {
	name    string
	text    []byte
	objects []record.Object
}

// Open reads a deployment's directory.
func Open(path string) (Directory, error) {
	if _, err := decl.ReadDirectory(path); err != nil {
		return Directory{}, err
	}
	paths, err := filepath.Glob(filepath.Join(path, "*.ini"))
	if err != nil {
		return Directory{}, err
	}
	slices.Sort(paths)
	d := Directory{path: path}
	for _, p := range paths {
		f, err := readFile(p)
		if err != nil {
			return Directory{}, err
		}
		d.files = append(d.files, f)
	}
	return d, nil
}

func readFile(path string) (file, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return file{}, err
	}
	objects, err := decl.ReadINI(text)
	return file{filepath.Base(path), text, objects}, err
}

// Objects returns all sections.
func (d Directory) Objects() []record.Object {
	var out []record.Object
	for _, f := range d.files {
		out = append(out, f.objects...)
	}
	return out
}

// Write brings the files to the wanted sections; new ones go to the file of their kind, such as teams.ini.
func (d Directory) Write(wanted []record.Object) error {
	for _, f := range d.files {
		text := f.text
		for _, o := range f.objects {
			text = edit(text, o, wanted)
		}
		if err := replace(filepath.Join(d.path, f.name), text, f.text); err != nil {
			return err
		}
	}
	return d.addNew(wanted)
}

func edit(text []byte, old record.Object, wanted []record.Object) []byte {
	i := index(wanted, old)
	if i < 0 {
		return splice(text, old, nil)
	}
	if wanted[i].HasSameFields(old) {
		return text
	}
	return splice(text, old, decl.WriteINI(wanted[i:i+1]))
}

func (d Directory) addNew(wanted []record.Object) error {
	have := d.Objects()
	for _, o := range wanted {
		if index(have, o) >= 0 {
			continue
		}
		path := filepath.Join(d.path, o.Kind()+"s.ini")
		text, err := os.ReadFile(path)
		if err != nil && !os.IsNotExist(err) {
			return err
		}
		if err := replace(path, appendSection(text, o), text); err != nil {
			return err
		}
	}
	return nil
}

func appendSection(text []byte, o record.Object) []byte {
	out := bytes.TrimRight(text, "\n")
	if len(out) > 0 {
		out = append(out, "\n\n"...)
	}
	return append(out, decl.WriteINI([]record.Object{o})...)
}

// WriteAnswers writes one team's answers file.
func (d Directory) WriteAnswers(a survey.Answers) error {
	dir := filepath.Join(d.path, survey.Directory)
	if err := os.MkdirAll(dir, directoryMode); err != nil {
		return err
	}
	return replace(filepath.Join(dir, a.Team()+".ini"), a.Encode(), nil)
}

// splice replaces a section's lines, from its heading to its last key, by the given text.
func splice(text []byte, o record.Object, by []byte) []byte {
	lines := strings.SplitAfter(string(text), "\n")
	from := slices.IndexFunc(lines, func(line string) bool { return isHeadingOf(line, o) })
	if from < 0 {
		return text
	}
	to := from + 1
	for i := to; i < len(lines) && !isHeading(lines[i]); i++ {
		if isKey(lines[i]) {
			to = i + 1
		}
	}
	if by == nil {
		for to < len(lines) && lines[to] == "\n" {
			to++
		}
	}
	return []byte(strings.Join(lines[:from], "") + string(by) + strings.Join(lines[to:], ""))
}

func isHeading(line string) bool { return strings.HasPrefix(strings.TrimSpace(line), "[") }

func isHeadingOf(line string, o record.Object) bool {
	inner, ok := strings.CutPrefix(strings.TrimSpace(line), "[")
	if !ok {
		return false
	}
	inner, _, _ = strings.Cut(inner, "]")
	kind, name, _ := strings.Cut(strings.TrimSpace(inner), " ")
	return kind == o.Kind() && strings.TrimSpace(name) == o.Name()
}

func isKey(line string) bool {
	trimmed := strings.TrimSpace(line)
	return trimmed != "" && trimmed[0] != ';' && trimmed[0] != '#'
}

// replace writes the file as a whole, unless it has the text already.
func replace(path string, text, old []byte) error {
	if old != nil && bytes.Equal(text, old) {
		return nil
	}
	temporary := path + ".new"
	if err := os.WriteFile(temporary, text, fileMode); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return os.Rename(temporary, path)
}

func index(objects []record.Object, like record.Object) int {
	return slices.IndexFunc(objects, func(o record.Object) bool { return o.Kind() == like.Kind() && o.Name() == like.Name() })
}
