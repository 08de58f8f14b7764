package telemetry

import (
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"
)

const (
	// floodLimit entries with the same part and message are printed in one
	// floodWindow; the rest are counted.
	floodLimit  = 20
	floodWindow = 10 * time.Second
	// floodMessages bounds the messages that are tracked in one window.
	// Further ones share one counter for each part.
	floodMessages = 1024
)

// floodKey names the entries that are counted together.
type floodKey struct {
	part    string
	message string
}

// floodCount counts the entries of one key in one window.
type floodCount struct {
	seen int
	last *log.Entry // last entry that was held back
}

// FloodControl passes on the first entries of a part with the same message and
// counts the others. At the end of the window it writes one summary for each
// message that was held back.
type FloodControl struct {
	next   log.Handler
	limit  int
	window time.Duration

	mu     sync.Mutex // guards the fields below; a leaf lock
	counts map[floodKey]*floodCount
	armed  bool // the timer that ends the window is running
}

// NewFloodControl passes at most limit equal entries to next in each window.
func NewFloodControl(next log.Handler, limit int, window time.Duration) *FloodControl {
	return &FloodControl{next: next, limit: limit, window: window, counts: map[floodKey]*floodCount{}}
}

// HandleLog implements log.Handler.
func (f *FloodControl) HandleLog(e *log.Entry) error {
	if !f.admit(e) {
		return nil
	}
	return f.next.HandleLog(e)
}

// admit counts the entry and reports whether it is to be printed.
func (f *FloodControl) admit(e *log.Entry) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arm()
	count := f.count(floodKey{part: partOf(e), message: e.Message})
	count.seen++
	if count.seen <= f.limit {
		return true
	}
	count.last = e
	return false
}

// arm starts the timer of a window with its first entry.
func (f *FloodControl) arm() {
	if f.armed {
		return
	}
	f.armed = true
	time.AfterFunc(f.window, f.Flush)
}

// count returns the counter of a key. Once floodMessages keys are tracked, the
// further messages of a part share a counter.
func (f *FloodControl) count(key floodKey) *floodCount {
	if _, tracked := f.counts[key]; !tracked && len(f.counts) >= floodMessages {
		key.message = ""
	}
	if f.counts[key] == nil {
		f.counts[key] = &floodCount{}
	}
	return f.counts[key]
}

// Flush ends the window and writes the summaries.
func (f *FloodControl) Flush() {
	f.mu.Lock()
	counts := f.counts
	f.counts = map[floodKey]*floodCount{}
	f.armed = false
	f.mu.Unlock()
	for key, count := range counts {
		if count.last != nil {
			f.summarise(key, count)
		}
	}
}

// summarise writes how many entries were held back. It ignores an error of the
// output, since a failed log write cannot be logged.
func (f *FloodControl) summarise(key floodKey, count *floodCount) {
	message := key.message
	if message == "" {
		message = "further messages"
	}
	held := count.seen - f.limit
	_ = f.next.HandleLog(&log.Entry{
		Logger:    count.last.Logger,
		Level:     count.last.Level,
		Timestamp: log.Now(),
		Message:   fmt.Sprintf("%s (held back %d more within %s)", message, held, f.window),
		Fields:    log.Fields{partField: key.part, "held_back": held},
	})
}
