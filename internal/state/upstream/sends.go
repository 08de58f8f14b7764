package upstream

import (
	"slices"
	"time"
)

// maxSendTimes bounds the send times that are kept for one upstream while no
// report arrives. It is four times the number of streams that routing assumes an
// engine to batch.
const maxSendTimes = 256

// sendTimes are the times at which this instance sent requests to one upstream,
// in Unix microseconds. Workers add them concurrently, so they are only roughly
// in order.
type sendTimes []int64

// add appends a time and drops the first ones beyond maxSendTimes.
func (s sendTimes) add(at time.Time) sendTimes {
	s = append(s, at.UnixMicro())
	return s[max(len(s)-maxSendTimes, 0):]
}

// after returns the times later than the given one. It reuses s.
func (s sendTimes) after(at time.Time) sendTimes {
	limit := at.UnixMicro()
	return slices.DeleteFunc(s, func(sent int64) bool { return sent <= limit })
}
