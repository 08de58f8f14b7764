package evidence

import "encoding/binary"

// packedCounts holds the counts of one row as varints: requests, failures, and
// for each latency bucket that is not empty its index and its count. Indices
// from Buckets on are buckets of Pace. As few buckets are in use, a busy row takes
// about 30 bytes, a Counts about 400. The empty string stands for zero counts.
type packedCounts string

func pack(c Counts) packedCounts {
	var buf [64]byte
	b := binary.AppendUvarint(buf[:0], c.Requests)
	b = binary.AppendUvarint(b, c.Failures)
	b = appendBuckets(b, 0, &c.FirstWait)
	b = appendBuckets(b, Buckets, &c.Pace)
	return packedCounts(b)
}

func appendBuckets(b []byte, offset int, buckets *[Buckets]uint64) []byte {
	for i, n := range buckets {
		if n > 0 {
			b = binary.AppendUvarint(b, uint64(offset+i))
			b = binary.AppendUvarint(b, n)
		}
	}
	return b
}

func (p packedCounts) counts() Counts {
	var c Counts
	if p == "" {
		return c
	}
	b := []byte(p)
	c.Requests, b = readUvarint(b)
	c.Failures, b = readUvarint(b)
	for len(b) > 0 {
		var i, n uint64
		i, b = readUvarint(b)
		n, b = readUvarint(b)
		if i < Buckets {
			c.FirstWait[i] = n
		} else {
			c.Pace[i-Buckets] = n
		}
	}
	return c
}

// readUvarint reads one varint and returns the rest of b. Only pack writes the
// varints, so they are well formed.
func readUvarint(b []byte) (uint64, []byte) {
	v, n := binary.Uvarint(b)
	return v, b[n:]
}
