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

// Directory holds the files of a deployment's directory as they were when it was opened.
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

// Objects returns the sections of all files.
func (d Directory) Objects() []record.Object {
	var out []record.Object
	for _, f := range d.files {
		out = append(out, f.objects...)
	}
	return out
}

// Write updates the files to hold the wanted sections. A new section is appended to the file of its kind, such as
// teams.ini.
func (d Directory) Write(wanted []record.Object) error {
	for _, f := range d.files {
		text := f.text
		for _, o := range f.objects {
			text = editSection(text, o, wanted)
		}
		if err := writeFileAtomically(filepath.Join(d.path, f.name), text, f.text); err != nil {
			return err
		}
	}
	return d.appendNewSections(wanted)
}

func editSection(text []byte, old record.Object, wanted []record.Object) []byte {
	i := indexOf(wanted, old)
	if i < 0 {
		return replaceSection(text, old, nil)
	}
	if wanted[i].HasSameFields(old) {
		return text
	}
	return replaceSection(text, old, decl.WriteINI(wanted[i:i+1]))
}

func (d Directory) appendNewSections(wanted []record.Object) error {
	existing := d.Objects()
	for _, o := range wanted {
		if indexOf(existing, o) >= 0 {
			continue
		}
		path := filepath.Join(d.path, o.Kind()+"s.ini")
		text, err := os.ReadFile(path)
		if err != nil && !os.IsNotExist(err) {
			return err
		}
		if err := writeFileAtomically(path, appendSection(text, o), text); err != nil {
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
	return writeFileAtomically(filepath.Join(dir, a.Team()+".ini"), a.Encode(), nil)
}

// replaceSection replaces a section's lines, from its heading to its last key, with the replacement. If that is nil, the
// blank lines after the section are removed too.
func replaceSection(text []byte, o record.Object, replacement []byte) []byte {
	lines := strings.SplitAfter(string(text), "\n")
	start := slices.IndexFunc(lines, func(line string) bool { return isHeadingOf(line, o) })
	if start < 0 {
		return text
	}
	end := start + 1
	for i := end; i < len(lines) && !isHeading(lines[i]); i++ {
		if isKey(lines[i]) {
			end = i + 1
		}
	}
	if replacement == nil {
		for end < len(lines) && lines[end] == "\n" {
			end++
		}
	}
	return []byte(strings.Join(lines[:start], "") + string(replacement) + strings.Join(lines[end:], ""))
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

// writeFileAtomically writes the file to a temporary path and renames it, unless the text is unchanged.
func writeFileAtomically(path string, text, old []byte) error {
	if old != nil && bytes.Equal(text, old) {
		return nil
	}
	tempPath := path + ".new"
	if err := os.WriteFile(tempPath, text, fileMode); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return os.Rename(tempPath, path)
}

func indexOf(objects []record.Object, section record.Object) int {
	return slices.IndexFunc(objects, func(o record.Object) bool { return o.Kind() == section.Kind() && o.Name() == section.Name() })
}
