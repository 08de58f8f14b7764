package gossip

import (
	"reflect"
	"slices"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

func documentHead(d *model.Document) DocumentHead {
	if d == nil {
		return DocumentHead{}
	}
	return DocumentHead{Generation: d.Generation, Hash: d.Hash}
}

// diffDocuments returns the step from one document of an environment to a
// later one.
func diffDocuments(from, to *model.Document) DocumentStep {
	return DocumentStep{
		From:              documentHead(from),
		To:                documentHead(to),
		RequireCredential: to.RequireCredential,
		Organisations:     diffRows(from.Organisations, to.Organisations),
		Models:            diffRows(from.Models, to.Models),
		Services:          diffRows(from.Services, to.Services),
		Upstreams:         diffRows(from.Upstreams, to.Upstreams),
	}
}

// diffRows returns splices that turn one list into the other. Lists of equal
// length are compared row by row; otherwise everything between the common
// prefix and the common suffix is replaced.
func diffRows[T any](from, to []T) []Splice[T] {
	if len(from) == len(to) {
		return diffEqualLength(from, to)
	}
	prefix := 0
	for prefix < min(len(from), len(to)) && reflect.DeepEqual(from[prefix], to[prefix]) {
		prefix++
	}
	suffix := 0
	for suffix < min(len(from), len(to))-prefix && reflect.DeepEqual(from[len(from)-1-suffix], to[len(to)-1-suffix]) {
		suffix++
	}
	return []Splice[T]{{At: prefix, Delete: len(from) - prefix - suffix, Insert: to[prefix : len(to)-suffix]}}
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

// applyStep applies a step to a document and returns the later document, or
// nil if the step starts from another document or a splice is out of range.
// Lists that do not change are shared between both documents.
func applyStep(from *model.Document, s DocumentStep) *model.Document {
	if from == nil || documentHead(from) != s.From {
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

// maxSteps is the number of steps that a history keeps. At 5,900 changes a
// day, 64 steps reach back a quarter of an hour; a peer that is further behind
// gets the whole document.
const maxSteps = 64

// history keeps the current document and the last steps that led to it.
type history struct {
	current *model.Document
	steps   []DocumentStep
	changed bool // since the last call of DocumentChanged
}

// record makes a document the current one and adds the step to it. Steps
// between documents of different environments are not kept.
func (h *history) record(d *model.Document) {
	if d == nil || documentHead(d) == documentHead(h.current) {
		return
	}
	if h.current != nil && h.current.Environment == d.Environment {
		h.steps = append(h.steps, diffDocuments(h.current, d))
	} else {
		h.steps = nil
	}
	if len(h.steps) > maxSteps {
		h.steps = slices.Delete(h.steps, 0, 1)
	}
	h.current, h.changed = d, true
}

// since returns what a peer with the given head is missing: the steps to the
// current document, or the whole document if they are no longer kept.
func (h *history) since(head DocumentHead) ([]DocumentStep, *model.Document) {
	if h.current == nil || head.Generation >= h.current.Generation {
		return nil, nil
	}
	for i, s := range h.steps {
		if s.From == head {
			return slices.Clone(h.steps[i:]), nil
		}
	}
	return nil, h.current
}

// applySteps applies each step that starts from the document reached so far,
// skips the others, and returns the resulting document.
func applySteps(d *model.Document, steps []DocumentStep) *model.Document {
	for _, s := range steps {
		if next := applyStep(d, s); next != nil {
			d = next
		}
	}
	return d
}
