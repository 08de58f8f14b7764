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
			r := b.Reserve()
			got, err := r.ReadAll(in, 200_000)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(got, want))
			r.Release()
		}
	}
	_, err := b.Reserve().ReadAll(strings.NewReader("abcd"), 3)
	assert.ErrorIs(t, err, ErrTooLarge)
	_, err = b.Reserve().ReadAll(iotest.ErrReader(io.ErrUnexpectedEOF), 3)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// Guards against large answers that keep small ones from being read, and against memory
// that is not given back.
func TestBudgetIsSharedAndGivenBack(t *testing.T) {
	b := NewBudget(1 << 20)
	large, second := b.Reserve(), b.Reserve()
	assert.Assert(t, large.Grow(1<<20))
	assert.Assert(t, !second.Grow(1<<20))
	assert.Assert(t, second.Grow(freeBytes))
	_, err := second.ReadAll(bytes.NewReader(make([]byte, 1<<20)), 1<<20)
	assert.ErrorIs(t, err, ErrBudget)
	large.Release()
	second.Release()
	assert.Equal(t, b.used.Load(), int64(0))
	assert.Assert(t, second.Grow(1<<20))
}
