package gossip

import (
	"reflect"
	"slices"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

func headOf(d *model.Document) DocumentHead {
	if d == nil {
		return DocumentHead{}
	}
	return DocumentHead{Generation: d.Generation, Hash: d.Hash}
}

// diffDocuments returns the step from one document of an environment to a
// later one.
func diffDocuments(from, to *model.Document) DocumentStep {
	return DocumentStep{
		From:              headOf(from),
		To:                headOf(to),
		RequireCredential: to.RequireCredential,
		Organisations:     diffRows(from.Organisations, to.Organisations),
		Models:            diffRows(from.Models, to.Models),
		Services:          diffRows(from.Services, to.Services),
		Upstreams:         diffRows(from.Upstreams, to.Upstreams),
	}
}

// diffRows returns splices that turn one list into the other. Lists of equal
// length are compared row by row; otherwise everything between the common
// head and the common tail is replaced.
func diffRows[T any](from, to []T) []Splice[T] {
	if len(from) == len(to) {
		return diffEqualLength(from, to)
	}
	head := 0
	for head < min(len(from), len(to)) && reflect.DeepEqual(from[head], to[head]) {
		head++
	}
	tail := 0
	for tail < min(len(from), len(to))-head && reflect.DeepEqual(from[len(from)-1-tail], to[len(to)-1-tail]) {
		tail++
	}
	return []Splice[T]{{At: head, Delete: len(from) - head - tail, Insert: to[head : len(to)-tail]}}
}

func diffEqualLength[T any](from, to []T) []Splice[T] {
	var splices []Splice[T]
	for i := range from {
		if !reflect.DeepEqual(from[i], to[i]) {
			splices = append(splices, Splice[T]{At: i, Delete: 1, Insert: to[i : i+1]})
		}
	}
	return splices
}

// applyStep returns the later document, or nil if the step does not fit. The
// lists that do not change are shared.
func applyStep(from *model.Document, s DocumentStep) *model.Document {
	if from == nil || headOf(from) != s.From {
		return nil
	}
	to := &model.Document{
		Environment:       from.Environment,
		Generation:        s.To.Generation,
		Hash:              s.To.Hash,
		RequireCredential: s.RequireCredential,
	}
	var ok [4]bool
	to.Organisations, ok[0] = applyRows(from.Organisations, s.Organisations)
	to.Models, ok[1] = applyRows(from.Models, s.Models)
	to.Services, ok[2] = applyRows(from.Services, s.Services)
	to.Upstreams, ok[3] = applyRows(from.Upstreams, s.Upstreams)
	if slices.Contains(ok[:], false) {
		return nil
	}
	return to
}

func applyRows[T any](rows []T, splices []Splice[T]) ([]T, bool) {
	if len(splices) == 0 {
		return rows, true
	}
	rows = slices.Clone(rows)
	for _, s := range splices {
		if s.At < 0 || s.Delete < 0 || s.At > len(rows) || s.Delete > len(rows)-s.At {
			return nil, false
		}
		rows = slices.Replace(rows, s.At, s.At+s.Delete, s.Insert...)
	}
	return rows, true
}

// maxSteps is the number of steps that an instance remembers. At 5,900
// changes a day, 64 steps reach back a quarter of an hour; a peer that is
// further behind gets the whole document.
const maxSteps = 64

// history remembers how the document changed.
type history struct {
	last    *model.Document
	steps   []DocumentStep
	changed bool // since the last call of DocumentChanged
}

// record notes the document in force.
func (h *history) record(d *model.Document) {
	if d == nil || headOf(d) == headOf(h.last) {
		return
	}
	if h.last != nil && h.last.Environment == d.Environment {
		h.steps = append(h.steps, diffDocuments(h.last, d))
	} else {
		h.steps = nil
	}
	if len(h.steps) > maxSteps {
		h.steps = slices.Delete(h.steps, 0, 1)
	}
	h.last, h.changed = d, true
}

// since returns what a peer with the given head lacks: steps, or the whole
// document.
func (h *history) since(head DocumentHead) ([]DocumentStep, *model.Document) {
	if h.last == nil || head.Generation >= h.last.Generation {
		return nil, nil
	}
	for i, s := range h.steps {
		if s.From == head {
			return slices.Clone(h.steps[i:]), nil
		}
	}
	return nil, h.last
}

// follow applies the steps that fit to a document and returns the last one.
func follow(d *model.Document, steps []DocumentStep) *model.Document {
	for _, s := range steps {
		if next := applyStep(d, s); next != nil {
			d = next
		}
	}
	return d
}
