package strictyaml

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"

	"go.yaml.in/yaml/v3"
)

const (
	// maxEntries bounds the sum of list items, keys and lines of a file, because
	// each allocates about 1 KB. A document with 3,500 upstreams has 35,000.
	maxEntries = 256 << 10
	// maxFaults bounds the faults that are recorded for one file.
	maxFaults = 1000
	// maxMessageBytes bounds the message of one fault. The longest list of allowed
	// keys has 230 bytes.
	maxMessageBytes = 1000
)

// File holds the lines and the faults of a decoded file.
type File struct {
	lines  map[string]int  // by path
	faulty map[string]bool // paths whose value could not be decoded or is invalid
	faults Faults
}

// Decode decodes src over out, a pointer to a struct whose fields have yaml
// tags and hold the defaults. Fields without a fault are set even when others have
// faults, so that the caller can check them too.
func Decode(src []byte, out any, maxBytes int) *File {
	f := &File{lines: map[string]int{"": 1}, faulty: map[string]bool{}}
	if len(src) > maxBytes {
		f.add("", 0, "the file has %d bytes; at most %d are allowed", len(src), maxBytes)
		return f
	}
	if n := countEntries(src); n > maxEntries {
		f.add("", 0, "the file has %d entries and lines; at most %d are allowed", n, maxEntries)
		return f
	}
	root, err := parse(src)
	if err != nil {
		f.add("", 0, "%s", strings.TrimPrefix(err.Error(), "yaml: "))
		return f
	}
	f.decode(root, out)
	return f
}

// countEntries counts the bytes that can start an entry. It runs before the file is
// parsed, so that a file with too many entries is not parsed at all.
func countEntries(src []byte) int {
	n := bytes.Count(src, []byte("- "))
	for _, c := range []byte("\n\r,[{?") {
		n += bytes.Count(src, []byte{c})
	}
	return n
}

// parse returns the root node of the only document in src.
func parse(src []byte) (*yaml.Node, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(src))
	var document, next yaml.Node
	err := decoder.Decode(&document)
	if errors.Is(err, io.EOF) {
		return nil, errors.New("the file is empty")
	}
	if err != nil {
		return nil, err
	}
	if err := decoder.Decode(&next); !errors.Is(err, io.EOF) {
		return nil, errors.New("the file holds more than one YAML document")
	}
	return document.Content[0], nil
}

// Add records a fault at the path, unless the path or a path that encloses it has a
// fault already: a value that could not be decoded needs no second message.
func (f *File) Add(path, format string, args ...any) {
	for p := path; p != ""; p = parentPath(p) {
		if f.faulty[p] {
			return
		}
	}
	if !f.faulty[""] {
		f.add(path, f.Line(path), format, args...)
	}
}

func (f *File) add(path string, line int, format string, args ...any) {
	f.faulty[path] = true
	f.report(path, line, format, args...)
}

// report records a fault but leaves the value at the path valid, so that Add can
// still record a fault there.
func (f *File) report(path string, line int, format string, args ...any) {
	if len(f.faults) == maxFaults {
		return
	}
	f.faults = append(f.faults, Fault{Path: path, Line: line, Message: truncate(fmt.Sprintf(format, args...))})
}

// truncate cuts a message to maxMessageBytes. A message can quote a long value.
func truncate(message string) string {
	if len(message) <= maxMessageBytes {
		return message
	}
	return strings.ToValidUTF8(message[:maxMessageBytes], "") + "…"
}

// Line returns the line of the path, or of the closest enclosing path that exists in
// the file.
func (f *File) Line(path string) int {
	for path != "" {
		if line, ok := f.lines[path]; ok {
			return line
		}
		path = parentPath(path)
	}
	return f.lines[""]
}

// parentPath returns the path one level up.
func parentPath(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}

// Faults returns all faults found so far, ordered by line.
func (f *File) Faults() Faults {
	f.faults.Sort()
	return f.faults
}
