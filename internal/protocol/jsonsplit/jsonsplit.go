// Package jsonsplit splits a JSON object or array into its members without decoding
// them, so that a member that cannot be decoded does not hide the others. Package
// encoding/json refuses a whole text for one value that is nested too deeply.
package jsonsplit

import (
	"encoding/json"

	"github.com/gravitational/trace"
)

// Object returns the values of an object's members by name. Of members with the same
// name the last one counts.
func Object(text []byte) (map[string][]byte, error) {
	fields := map[string][]byte{}
	s := scanner{text: text}
	err := s.members('{', '}', func() error {
		start := s.at
		if s.peek() != '"' {
			return s.unexpected()
		}
		if err := s.skipValue(); err != nil {
			return err
		}
		var name string
		if err := json.Unmarshal(text[start:s.at], &name); err != nil {
			return trace.BadParameter("name of a member: %v", err)
		}
		if s.peek() != ':' {
			return s.unexpected()
		}
		s.at++
		s.skipSpace()
		start = s.at
		err := s.skipValue()
		fields[name] = text[start:s.at]
		return err
	})
	return fields, err
}

// Array returns the elements of an array.
func Array(text []byte) ([][]byte, error) {
	var elements [][]byte
	s := scanner{text: text}
	err := s.members('[', ']', func() error {
		start := s.at
		err := s.skipValue()
		elements = append(elements, text[start:s.at])
		return err
	})
	return elements, err
}

// scanner finds the ends of values. It checks brackets and strings only; decoding the
// values finds what else is wrong.
type scanner struct {
	text []byte
	at   int
}

// peek returns the next byte that is not white space, 0 at the end.
func (s *scanner) peek() byte {
	s.skipSpace()
	if s.at == len(s.text) {
		return 0
	}
	return s.text[s.at]
}

func (s *scanner) skipSpace() {
	for s.at < len(s.text) && (s.text[s.at] == ' ' || s.text[s.at] == '\t' || s.text[s.at] == '\n' || s.text[s.at] == '\r') {
		s.at++
	}
}

func (s *scanner) unexpected() error {
	return trace.BadParameter("text is not valid JSON at byte %d", s.at)
}

// members calls member at the start of each member of the object or array that is the
// whole text.
func (s *scanner) members(open, end byte, member func() error) error {
	if s.peek() != open {
		return s.unexpected()
	}
	s.at++
	for first := true; s.peek() != end; first = false {
		if !first {
			if s.peek() != ',' {
				return s.unexpected()
			}
			s.at++
			s.skipSpace()
		}
		if err := member(); err != nil {
			return err
		}
	}
	s.at++
	if s.peek() != 0 {
		return s.unexpected()
	}
	return nil
}

// skipValue moves to the end of the value that begins here. It does not recurse, so
// that no nesting is too deep.
func (s *scanner) skipValue() error {
	start := s.at
	for depth := 0; s.at < len(s.text); {
		switch s.text[s.at] {
		case '"':
			if err := s.skipString(); err != nil {
				return err
			}
		case '{', '[':
			depth++
			s.at++
		case '}', ']', ',':
			if depth == 0 {
				return s.endOfScalar(start)
			}
			if s.text[s.at] != ',' {
				depth--
			}
			s.at++
		default:
			s.at++
			continue
		}
		if last := s.text[s.at-1]; depth == 0 && (last == '"' || last == '}' || last == ']') {
			return nil
		}
	}
	return s.unexpected()
}

// endOfScalar checks that a number or word is not empty, and moves to its end.
func (s *scanner) endOfScalar(start int) error {
	end := s.at
	for end > start && (s.text[end-1] == ' ' || s.text[end-1] == '\n' || s.text[end-1] == '\t' || s.text[end-1] == '\r') {
		end--
	}
	if end == start {
		return s.unexpected()
	}
	s.at = end
	return nil
}

func (s *scanner) skipString() error {
	for s.at++; s.at < len(s.text); s.at++ {
		switch s.text[s.at] {
		case '\\':
			s.at++
		case '"':
			s.at++
			return nil
		}
	}
	s.at = len(s.text)
	return s.unexpected()
}
