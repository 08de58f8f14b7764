package envdoc

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// hostileLimit bounds the time of one case. The slowest case takes 0.07 s, or 1.06 s
// with the race detector; an unbounded expansion takes far longer than the limit.
const hostileLimit = 20 * time.Second

// Guards against a source whose refusal takes minutes or gigabytes, and against a
// number that is accepted with another value than written.
func TestHostileSources(t *testing.T) {
	organisation := func(field string) string { return "organisations: [{id: a, " + field + "}]" }
	route := func(timeout string) string {
		return "services: [{name: s, target: \"1\", routes: [{method: GET, path: /a, idempotent: true, timeout: " + timeout + "}]}]"
	}
	for _, test := range []struct{ name, src, want string }{
		{"deep flow nesting", "models: " + strings.Repeat("[", 200_000), "exceeded max depth"},
		{"deeper flow nesting", "models: " + strings.Repeat("[", MaxBytes-10), "entries and lines"},
		{"deep flow mappings", "models: " + strings.Repeat("{a: ", 200_000), "exceeded max depth"},
		{"deep block nesting", "models:\n" + strings.Repeat("- ", 200_000) + "a", "exceeded max depth"},
		{"self reference", "models: &a [*a]", "anchors are not allowed"},
		{"expanding aliases", "a: &a [x, x, x, x]\nb: &b [*a, *a, *a, *a]\nc: &c [*b, *b, *b, *b]\nmodels: [*c, *c]", "aliases are not allowed"},
		{"merge key", "<<: {require_credential: true}", "unknown key"},
		{"tag", "models: !!binary aGVsbG8=", "tags are not allowed"},
		{"oversized", strings.Repeat("#", MaxBytes+1), "at most 4194304 are allowed"},
		{"one long value", organisation("weight: " + strings.Repeat("9", 1<<20)), "must be a whole number"},
		{"one long key", strings.Repeat("k", 1<<20) + ": 1", "mapping values are not allowed"}, // YAML bounds keys to 1024 bytes
		{"longest key", strings.Repeat("k", 1024) + ": 1", "unknown key"},
		{"huge whole number", organisation("weight: 99999999999999999999"), "organisations[0].weight: line 1: must be a whole number"},
		{"huge exponent", organisation("weight: 1e999"), "must be a whole number"},
		{"fraction", organisation("weight: 1.5"), `must be a whole number, not "1.5"`},
		{"infinite", organisation("max_in_flight: .inf"), "must be a whole number"},
		{"negative infinite", organisation("max_in_flight: -.inf"), "must be a whole number"},
		{"not a number", organisation("max_in_flight: .nan"), "must be a whole number"},
		{"largest number", organisation("weight: 9223372036854775807"), "must be at most 1000000"},
		{"negative", organisation("max_in_flight: -9223372036854775808"), "must be at least 0"},
		{"huge duration", route("99999999999999999999h"), "must be a duration"},
		{"duration without unit", route("9223372036854775807"), "must be a duration"},
		{"long duration", route("2562047h"), "must be at most 10m"},
		{"time out of range", "models: [{name: m, target: \"1\", finish_by: \"99999-01-01T00:00:00Z\", max_queue: 1}]", "must be a time in RFC 3339"},
		{"NUL", "models: \x00", "control characters are not allowed"},
		{"not UTF-8", "models: \xff\xfe", "invalid"},
	} {
		t.Run(test.name, func(t *testing.T) {
			started := time.Now()
			doc, faults := Parse([]byte(test.src))
			assert.Assert(t, doc == nil)
			message := faults.Error()
			assert.Assert(t, strings.Contains(message, test.want), "%.300s", message)
			assert.Assert(t, len(message) < 16<<10, "the message has %d bytes", len(message))
			assert.Assert(t, time.Since(started) < hostileLimit, "refused after %v", time.Since(started))
		})
	}
}
