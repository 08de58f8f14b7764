package evidence

import "encoding/binary"

// packed holds the counts of one row as varints: requests, failures, and for
// each latency bucket that is not empty its index and its count. Indices from
// Buckets on stand for Pace. A busy row takes about 30 bytes in place of 400,
// as few buckets are in use. The empty string holds no counts.
type packed string

func pack(c Counts) packed {
	var room [64]byte
	b := binary.AppendUvarint(room[:0], c.Requests)
	b = binary.AppendUvarint(b, c.Failures)
	b = appendBuckets(b, 0, &c.FirstWait)
	b = appendBuckets(b, Buckets, &c.Pace)
	return packed(b)
}

func appendBuckets(b []byte, first int, buckets *[Buckets]uint64) []byte {
	for i, n := range buckets {
		if n > 0 {
			b = binary.AppendUvarint(b, uint64(first+i))
			b = binary.AppendUvarint(b, n)
		}
	}
	return b
}

func (p packed) counts() Counts {
	var c Counts
	if p == "" {
		return c
	}
	b := []byte(p)
	c.Requests, b = next(b)
	c.Failures, b = next(b)
	for len(b) > 0 {
		var i, n uint64
		i, b = next(b)
		n, b = next(b)
		if i < Buckets {
			c.FirstWait[i] = n
		} else {
			c.Pace[i-Buckets] = n
		}
	}
	return c
}

// next reads one varint. Only pack writes them, so they are well formed.
func next(b []byte) (uint64, []byte) {
	v, n := binary.Uvarint(b)
	return v, b[n:]
}
