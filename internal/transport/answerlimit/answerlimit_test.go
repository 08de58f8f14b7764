package answerlimit

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// Guards against answers that are cut or changed, and against one that is larger than
// allowed and is taken for complete.
func TestReadAll(t *testing.T) {
	b := NewBudget(1 << 20)
	for _, size := range []int{0, 1, firstBufferBytes, firstBufferBytes + 1, 200_000} {
		want := bytes.Repeat([]byte("a"), size)
		for _, in := range []io.Reader{bytes.NewReader(want), iotest.HalfReader(bytes.NewReader(want)), iotest.DataErrReader(bytes.NewReader(want))} {
			r := Reserve(b)
			got, err := r.ReadAll(in, -1, 200_000)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(got, want))
			assert.Equal(t, b.used.Load(), int64(cap(got)))
			r.Release()
		}
		for _, in := range []io.Reader{bytes.NewReader(want), iotest.HalfReader(bytes.NewReader(want)), iotest.DataErrReader(bytes.NewReader(want))} {
			r := Reserve(b)
			got, err := r.ReadAll(in, int64(size), 200_000)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(got, want))
			assert.Equal(t, b.used.Load(), int64(size))
			r.Release()
		}
	}
	_, err := Reserve(b).ReadAll(strings.NewReader("abcd"), -1, 3)
	assert.ErrorIs(t, err, ErrTooLarge)
	_, err = Reserve(b).ReadAll(iotest.ErrReader(io.ErrUnexpectedEOF), -1, 3)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// Guards against large answers that keep small ones from being read, and against memory
// that is not given back.
func TestBudgetIsSharedAndGivenBack(t *testing.T) {
	b := NewBudget(1 << 20)
	large, second := Reserve(b), Reserve(b)
	assert.Assert(t, large.Grow(1<<20))
	assert.Assert(t, !second.Grow(1<<20))
	assert.Assert(t, second.Grow(CommonBytes))
	_, err := second.ReadAll(bytes.NewReader(make([]byte, 1<<20)), -1, 1<<20)
	assert.ErrorIs(t, err, ErrBudget)
	large.Release()
	second.Release()
	assert.Equal(t, b.used.Load(), int64(0))
	assert.Assert(t, second.Grow(1<<20))
}

// peakMemory records the most that answers held.
type peakMemory struct{ used, peak int64 }

func (m *peakMemory) ReserveAnswer(n, _ int64) bool {
	m.used += n
	m.peak = max(m.peak, m.used)
	return true
}

func (m *peakMemory) ReleaseAnswer(n int64) { m.used -= n }

// Guards against a buffer that is doubled only to see the end of the answer, and against
// copies that are not counted.
func TestMemoryThatIsHeldIsCounted(t *testing.T) {
	const size = 4 << 20
	for length, want := range map[int64]int64{size: size, -1: size * 3 / 2} {
		var m peakMemory
		r := Reserve(&m)
		got, err := r.ReadAll(bytes.NewReader(make([]byte, size)), length, 4*size)
		assert.NilError(t, err)
		assert.Equal(t, cap(got), size)
		assert.Equal(t, m.peak, want)
		assert.Equal(t, m.used, int64(size))
		r.Release()
		assert.Equal(t, m.used, int64(0))
	}
	_, err := Reserve(&peakMemory{}).ReadAll(bytes.NewReader(nil), size+1, size)
	assert.ErrorIs(t, err, ErrTooLarge)
}
