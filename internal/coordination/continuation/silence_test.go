package continuation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against silence that ends a stream or takes its last send, and against a dark
// engine that is never left.
func TestSilentEngineIsLeftOnlyIfTheStreamGoesOn(t *testing.T) {
	const dark = MaxSoundPause
	tests := []struct {
		name string
		s    Silence
		want bool
	}{
		{"copy", Silence{PromptRead: true, CopyReady: true, SendsLeft: 2, AlternativeReady: true}, true},
		{"no copy", Silence{PromptRead: true, SendsLeft: 2, AlternativeReady: true, Unanswered: time.Second}, false},
		{"no copy, dark", Silence{PromptRead: true, SendsLeft: 2, AlternativeReady: true, Unanswered: dark}, true},
		{"prompt not read", Silence{SendsLeft: 2, AlternativeReady: true}, false},
		{"prompt not read, unanswered", Silence{SendsLeft: 2, AlternativeReady: true, Unanswered: time.Millisecond}, true},
		{"last send", Silence{PromptRead: true, CopyReady: true, SendsLeft: 1, AlternativeReady: true, Unanswered: time.Second}, false},
		{"last send, dark", Silence{PromptRead: true, CopyReady: true, SendsLeft: 1, AlternativeReady: true, Unanswered: dark}, true},
		{"last send, stream lost", Silence{PromptRead: true, SendsLeft: 1, AlternativeReady: true, Lost: true}, true},
		{"no send", Silence{PromptRead: true, CopyReady: true, AlternativeReady: true, Unanswered: dark, Lost: true}, false},
		{"no other engine", Silence{PromptRead: true, CopyReady: true, SendsLeft: 3, Unanswered: dark, Lost: true}, false},
	}
	for _, test := range tests {
		assert.Check(t, test.s.MayMove() == test.want, test.name)
	}
}
