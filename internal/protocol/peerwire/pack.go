package peerwire

import (
	"encoding/binary"
	"errors"
	"math"

	"github.com/gravitational/trace"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/gossip"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// Limits of one packed list. They keep a small message from expanding to a large
// one.
const (
	maxPackedItems       = 1 << 16
	maxPackedStringBytes = 1024
)

var errTruncated = errors.New("packed list is truncated")

// packer appends numbers and strings to a byte slice. A string is written without
// the prefix that it shares with the previous string of its kind, because the IDs
// in a list are sorted and similar.
type packer struct {
	data     []byte
	previous [stringKinds]string
}

// Kinds of strings. Only strings of one kind share prefixes.
const (
	stringInstance = iota
	stringUpstream
	stringServes
	stringVersion
	stringRoute
	stringKinds
)

func (p *packer) uint(v uint64) { p.data = binary.AppendUvarint(p.data, v) }
func (p *packer) int(v int64)   { p.data = binary.AppendVarint(p.data, v) }

func (p *packer) string(kind int, s string) {
	previous, shared := p.previous[kind], 0
	for shared < min(len(s), len(previous)) && s[shared] == previous[shared] {
		shared++
	}
	p.uint(uint64(shared))
	p.uint(uint64(len(s) - shared))
	p.data = append(p.data, s[shared:]...)
	p.previous[kind] = s
}

func (p *packer) bytes(b []byte) {
	p.uint(uint64(len(b)))
	p.data = append(p.data, b...)
}

// unpacker decodes what a packer encoded. After the first failure all further
// values are zero, and err is set.
type unpacker struct {
	data     []byte
	previous [stringKinds]string
	err      error
}

func (u *unpacker) fail() { u.data, u.err = nil, errTruncated }

func (u *unpacker) uint() uint64 {
	v, n := binary.Uvarint(u.data)
	if n <= 0 {
		u.fail()
		return 0
	}
	u.data = u.data[n:]
	return v
}

func (u *unpacker) int() int64 {
	v, n := binary.Varint(u.data)
	if n <= 0 {
		u.fail()
		return 0
	}
	u.data = u.data[n:]
	return v
}

// uint31 decodes a number that must fit into 31 bits.
func (u *unpacker) uint31() int {
	v := u.uint()
	if v > math.MaxInt32 {
		u.fail()
		return 0
	}
	return int(v)
}

func (u *unpacker) string(kind int) string {
	shared, size := u.uint(), u.uint()
	previous := u.previous[kind]
	if shared > uint64(len(previous)) || size > uint64(len(u.data)) || shared+size > maxPackedStringBytes {
		u.fail()
		return ""
	}
	s := previous[:shared] + string(u.data[:size])
	u.data, u.previous[kind] = u.data[size:], s
	return s
}

func (u *unpacker) bytes() []byte {
	size := u.uint()
	if size > uint64(len(u.data)) {
		u.fail()
		return nil
	}
	b := u.data[:size]
	u.data = u.data[size:]
	return b
}

// count decodes the number of items that follow. Each item takes at least one byte,
// so a count above the number of bytes left is an error.
func (u *unpacker) count() int {
	n := u.uint()
	if n > maxPackedItems || n > uint64(len(u.data)) {
		u.fail()
		return 0
	}
	return int(n)
}

// finish returns the first failure of decoding the named list, or an error if bytes
// are left.
func (u *unpacker) finish(list string) error {
	if u.err == nil && len(u.data) > 0 {
		u.err = errors.New("packed list has trailing bytes")
	}
	if u.err != nil {
		return trace.Wrap(trace.BadParameter("%s: %v", list, u.err))
	}
	return nil
}

// packVersions encodes the highest version and the distance of each version from
// it. Versions of live origins are close together, so most take one byte.
func packVersions(versions []uint64) []byte {
	var p packer
	highest := uint64(0)
	for _, v := range versions {
		highest = max(highest, v)
	}
	p.uint(uint64(len(versions)))
	p.uint(highest)
	for _, v := range versions {
		p.uint(highest - v)
	}
	return p.data
}

func unpackVersions(data []byte) ([]uint64, error) {
	u := unpacker{data: data}
	n := u.count()
	highest := u.uint()
	versions := make([]uint64, 0, n)
	for range n {
		versions = append(versions, highest-min(u.uint(), highest))
	}
	return versions, u.finish("versions")
}

func packOrigins(origins []gossip.Origin) []byte {
	var p packer
	p.uint(uint64(len(origins)))
	for _, o := range origins {
		p.string(stringInstance, string(o.ID))
		p.uint(o.Incarnation)
	}
	return p.data
}

func unpackOrigins(data []byte) ([]gossip.Origin, error) {
	u := unpacker{data: data}
	n := u.count()
	origins := make([]gossip.Origin, 0, n)
	for range n {
		origins = append(origins, gossip.Origin{ID: model.InstanceID(u.string(stringInstance)), Incarnation: u.uint()})
	}
	return origins, u.finish("origins")
}
