// Package answerhead decides whether the bytes of a head are those of an HTTP/1 answer.
//
// net/http's client accepts field names with a blank, status 000 and folded lines, from
// which other programs read another answer. Errors name the fault and quote nothing of
// the answer, since they are logged.
package answerhead

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// Faults of a head.
var (
	ErrStatusLine     = errors.New("status line is malformed")
	ErrStatus         = errors.New("status is not between 100 and 999")
	ErrSwitch         = errors.New("status 101 answers no request of this system")
	ErrFolded         = errors.New("line is folded")
	ErrFieldName      = errors.New("field name is not a token")
	ErrFieldValue     = errors.New("field value has a control byte")
	ErrLength         = errors.New("length is malformed")
	ErrLengths        = errors.New("lengths differ")
	ErrTransferCoding = errors.New("transfer coding is not known")
	ErrTwoFramings    = errors.New("length stands beside a transfer coding")
	ErrUnfinished     = errors.New("head has no blank line at its end")
)

// Head is what delimits an answer.
type Head struct {
	Status  int
	Length  int64 // -1 if the head states none
	Chunked bool
}

// IsInterim reports whether another head follows this one.
func (h Head) IsInterim() bool { return h.Status < 200 }

// HasNoBody reports whether answers of the status have no body, whatever their fields say.
func (h Head) HasNoBody() bool { return h.Status == 204 || h.Status == 304 }

// End returns the length of the head at the start of data, or 0 if its blank line is not
// there yet. The search begins at from, 0 at first; for more data it goes on at next.
func End(data []byte, from int) (end, next int) {
	for {
		i := bytes.IndexByte(data[from:], '\n')
		if i < 0 {
			return 0, from
		}
		line := data[from : from+i]
		from += i + 1
		if len(line) == 0 || string(line) == "\r" {
			return from, from
		}
	}
}

// Check returns an error unless the bytes are those of one sound head with its blank line.
func Check(head []byte) error {
	_, err := Parse(head)
	return err
}

// Parse is Check. It also returns what delimits the answer.
func Parse(head []byte) (Head, error) {
	end, _ := End(head, 0)
	if end == 0 || end < len(head) {
		return Head{}, ErrUnfinished
	}
	line, rest := cutLine(head)
	version, status, err := statusLine(line)
	if err != nil {
		return Head{}, err
	}
	var fields framing
	for {
		if line, rest = cutLine(rest); len(line) == 0 {
			return fields.head(version, status)
		}
		name, value, err := field(line)
		if err != nil {
			return Head{}, err
		}
		switch {
		case equalFold(name, "Content-Length"):
			err = fields.addLength(value)
		case equalFold(name, "Transfer-Encoding"):
			err = fields.addCoding(value)
		}
		if err != nil {
			return Head{}, err
		}
	}
}

// cutLine returns the first line without its end, and what follows it. A line may end
// with a line feed alone, as net/http accepts it.
func cutLine(data []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(data, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r")), rest
}

// statusLine returns the minor version and the status.
func statusLine(line []byte) (version byte, status int, err error) {
	const prefix = "HTTP/1." // followed by a digit, a blank, and three digits
	if !bytes.HasPrefix(line, []byte(prefix)) || len(line) < len(prefix)+5 {
		return 0, 0, ErrStatusLine
	}
	version = line[len(prefix)]
	code, reason := line[len(prefix)+2:len(prefix)+5], line[len(prefix)+5:]
	if !isDigit(version) || line[len(prefix)+1] != ' ' || (len(reason) > 0 && reason[0] != ' ') || hasControl(reason) {
		return 0, 0, ErrStatusLine
	}
	for _, b := range code {
		if !isDigit(b) {
			return 0, 0, ErrStatusLine
		}
		status = 10*status + int(b-'0')
	}
	switch {
	case status < 100:
		return 0, 0, ErrStatus
	case status == 101: // no request asks for another protocol
		return 0, 0, ErrSwitch
	}
	return version, status, nil
}

// field returns the name and the value of a line.
func field(line []byte) (name, value []byte, err error) {
	if line[0] == ' ' || line[0] == '\t' {
		return nil, nil, ErrFolded
	}
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || len(name) == 0 {
		return nil, nil, ErrFieldName
	}
	for _, b := range name {
		if !isToken[b] {
			return nil, nil, ErrFieldName
		}
	}
	if hasControl(value) {
		return nil, nil, ErrFieldValue
	}
	return name, bytes.Trim(value, " \t"), nil
}

// framing collects the fields that delimit an answer.
type framing struct {
	length string
	codes  int // number of transfer codings
}

func (f *framing) addLength(value []byte) error {
	for _, b := range value {
		if !isDigit(b) {
			return ErrLength
		}
	}
	switch text := string(value); f.length {
	case "":
		if text == "" {
			return ErrLength
		}
		f.length = text
	case text:
	default:
		return ErrLengths
	}
	return nil
}

func (f *framing) addCoding(value []byte) error {
	f.codes++
	if f.codes > 1 || !equalFold(value, "chunked") {
		return ErrTransferCoding
	}
	return nil
}

func (f *framing) head(version byte, status int) (Head, error) {
	h := Head{Status: status, Length: -1, Chunked: f.codes > 0}
	switch {
	case h.Chunked && f.length != "":
		return Head{}, ErrTwoFramings
	case h.Chunked && version == '0': // HTTP/1.0 has no transfer codings, and net/http ignores them there
		return Head{}, ErrTransferCoding
	case f.length != "":
		length, err := strconv.ParseInt(f.length, 10, 64)
		if err != nil {
			return Head{}, ErrLength
		}
		h.Length = length
	}
	return h, nil
}

func equalFold(a []byte, b string) bool { return len(a) == len(b) && strings.EqualFold(string(a), b) }

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// hasControl reports whether the text has a control byte other than a tab.
func hasControl(text []byte) bool {
	for _, b := range text {
		if (b < ' ' && b != '\t') || b == 0x7f {
			return true
		}
	}
	return false
}

// isToken holds the bytes of a token (RFC 9110, section 5.6.2).
var isToken = func() (set [256]bool) {
	for _, b := range []byte("!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz") {
		set[b] = true
	}
	return set
}()
