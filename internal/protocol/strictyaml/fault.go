// Package strictyaml decodes YAML files that are written by hand. It refuses unknown
// keys, repeated keys, anchors, aliases and tags, and reports all faults of a file at
// once, each with its path and line.
package strictyaml

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// maxPrintedFaults bounds the faults in one error message. A file with wrong
// indentation can have a fault on every line.
const maxPrintedFaults = 50

// Fault is one error in a file.
type Fault struct {
	Path    string // such as models[0].target; empty for the whole file
	Line    int    // 0 when the fault has no line
	Message string
}

// String returns "path: line N: message".
func (f Fault) String() string {
	parts := make([]string, 0, 3)
	if f.Path != "" {
		parts = append(parts, f.Path)
	}
	if f.Line > 0 {
		parts = append(parts, fmt.Sprintf("line %d", f.Line))
	}
	return strings.Join(append(parts, f.Message), ": ")
}

// Faults holds all faults of one file, in the order of their lines.
type Faults []Fault

// Error lists the faults, one on each line.
func (f Faults) Error() string {
	var b strings.Builder
	for i, fault := range f {
		if i == maxPrintedFaults {
			fmt.Fprintf(&b, "\nand %d more faults", len(f)-maxPrintedFaults)
			break
		}
		if i > 0 {
			b.WriteByte('\n')
		}
		b.WriteString(fault.String())
	}
	return b.String()
}

// Err returns f as an error, or nil when there is no fault.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Sort orders the faults by line, then by path.
func (f Faults) Sort() {
	slices.SortStableFunc(f, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Path, b.Path))
	})
}
