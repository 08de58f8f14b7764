package upstream

import (
	"slices"
	"time"
)

// maxSends bounds the times that are kept for one upstream, when no report
// comes. It is four times the streams that routing assumes an engine to batch.
const maxSends = 256

// sends are the times at which this instance sent requests to one upstream, in
// Unix microseconds. Workers add them concurrently, so they are not quite in
// order.
type sends []int64

// add appends a time and drops the first one beyond maxSends.
func (s sends) add(at time.Time) sends {
	s = append(s, at.UnixMicro())
	return s[max(len(s)-maxSends, 0):]
}

// after returns the times later than the given one. It reuses s.
func (s sends) after(at time.Time) sends {
	limit := at.UnixMicro()
	return slices.DeleteFunc(s, func(sent int64) bool { return sent <= limit })
}
