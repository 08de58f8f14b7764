package answerhead

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// broken has heads that are not those of an answer.
var broken = []struct {
	head string
	want error
}{
	{"HTTP/1.1 000 None\r\n\r\n", ErrStatus},
	{"HTTP/1.1 099 Low\r\n\r\n", ErrStatus},
	{"HTTP/1.1 20 Short\r\n\r\n", ErrStatusLine},
	{"HTTP/1.1 2000 Long\r\n\r\n", ErrStatusLine},
	{"HTTP/1.1 +20 Sign\r\n\r\n", ErrStatusLine},
	{"HTTP/1.1  200 OK\r\n\r\n", ErrStatusLine},
	{"HTTP/2.0 200 OK\r\n\r\n", ErrStatusLine},
	{"HTTP/1.x 200 OK\r\n\r\n", ErrStatusLine},
	{"HTTP/1.1 200 O\x00K\r\n\r\n", ErrStatusLine},
	{"\r\n", ErrStatusLine},
	{"HTTP/1.1 101 Switching Protocols\r\n\r\n", ErrSwitch},
	{"HTTP/1.1 200 OK\r\nA B: c\r\n\r\n", ErrFieldName},
	{"HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\n", ErrFieldName},
	{"HTTP/1.1 200 OK\r\nA\t: c\r\n\r\n", ErrFieldName},
	{"HTTP/1.1 200 OK\r\nA\x01: c\r\n\r\n", ErrFieldName},
	{"HTTP/1.1 200 OK\r\nA\x7f: c\r\n\r\n", ErrFieldName},
	{"HTTP/1.1 200 OK\r\nA\xe4: c\r\n\r\n", ErrFieldName},
	{"HTTP/1.1 200 OK\r\n: c\r\n\r\n", ErrFieldName},
	{"HTTP/1.1 200 OK\r\nno colon\r\n\r\n", ErrFieldName},
	{"HTTP/1.1 200 OK\r\nA: b\x00c\r\n\r\n", ErrFieldValue},
	{"HTTP/1.1 200 OK\r\nA: b\rc\r\n\r\n", ErrFieldValue},
	{"HTTP/1.1 200 OK\r\nA: b\x7f\r\n\r\n", ErrFieldValue},
	{"HTTP/1.1 200 OK\r\n folded: b\r\n\r\n", ErrFolded},
	{"HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n", ErrFolded},
	{"HTTP/1.1 200 OK\r\nA: b\r\n\tc: d\r\n\r\n", ErrFolded},
	{"HTTP/1.1 200 OK\r\nA: b\r\n \r\n\r\n", ErrFolded},
	{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\ncontent-length: 3\r\n\r\n", ErrLengths},
	{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length:\r\n\r\n", ErrLengths},
	{"HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\n", ErrLength},
	{"HTTP/1.1 200 OK\r\nContent-Length: 2, 3\r\n\r\n", ErrLength},
	{"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", ErrLength},
	{"HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775808\r\n\r\n", ErrLength},
	{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n", ErrTwoFramings},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", ErrTransferCoding},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n\r\n", ErrTransferCoding},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", ErrTransferCoding},
	{"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", ErrTransferCoding},
	{"HTTP/1.1 200 OK\r\nA: b\r\n", ErrUnfinished},
	{"HTTP/1.1 200 OK\r\n\r\nbody", ErrUnfinished},
	{"", ErrUnfinished},
}

// sound has heads of answers.
var sound = []struct {
	head string
	want Head
}{
	{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", Head{200, 2, false}},
	{"HTTP/1.1 200 OK\nContent-Length: 2\n\n", Head{200, 2, false}},
	{"HTTP/1.1 200\r\n\r\n", Head{200, -1, false}},
	{"HTTP/1.1 204 \r\n\r\n", Head{204, -1, false}},
	{"HTTP/1.0 404 Nicht gef\xfcnden\r\nA:\r\nB: \t b c \r\n\r\n", Head{404, -1, false}},
	{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\ncontent-length:  2\r\n\r\n", Head{200, 2, false}},
	{"HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked \r\n\r\n", Head{200, -1, true}},
	{"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", Head{103, -1, false}},
	{"HTTP/1.1 999 Odd\r\n\r\n", Head{999, -1, false}},
}

// Guards against a head that counts as that of an answer although readers disagree on what
// it says.
func TestBrokenHeadsAreRejected(t *testing.T) {
	for _, c := range broken {
		assert.Check(t, errors.Is(Check([]byte(c.head)), c.want), "%q: %v", c.head, Check([]byte(c.head)))
	}
}

// Guards against sound answers that are rejected, and against a wrong end of their body.
func TestSoundHeadsAreAccepted(t *testing.T) {
	for _, c := range sound {
		got, err := Parse([]byte(c.head))
		assert.Check(t, err == nil && got == c.want, "%q: %+v, %v", c.head, got, err)
		for size := range len(c.head) {
			end, _ := End([]byte(c.head[:size]), 0)
			assert.Check(t, end == 0 || size < 4, "%q ends after %d bytes", c.head, size)
		}
	}
}

// Guards against a head that is accepted here and read otherwise by net/http, which reads
// the body of the answer.
func FuzzHead(f *testing.F) {
	for _, c := range broken {
		f.Add([]byte(c.head))
	}
	for _, c := range sound {
		f.Add([]byte(c.head))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		end, _ := End(data, 0)
		head, err := Parse(data[:end])
		if err != nil {
			return
		}
		in := bufio.NewReaderSize(bytes.NewReader(data[:end]), end+1)
		resp, err := http.ReadResponse(in, nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, head.Status)
		assert.Equal(t, in.Buffered(), 0, "net/http ends the head earlier")
		if head.Status >= 200 && head.Status != 204 && head.Status != 304 {
			assert.Equal(t, resp.ContentLength, head.Length)
			assert.Equal(t, len(resp.TransferEncoding) > 0, head.Chunked)
		}
		for name := range resp.Header {
			assert.Assert(t, name != "" && !strings.ContainsAny(name, " \t\r\n\x00"), "%q", name)
		}
	})
}
