// Package eventid encodes the IDs of server-sent events,
// "<request>.<line>.<position>", and takes request IDs apart.
package eventid

import (
	"regexp"
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// maxLength bounds an ID: 63 for the instance, 27 for the random part, 96 for
// the line with an instance of its own, 10 for the position, and the
// separators.
const maxLength = 220

var (
	// requestPattern has 128 random bits in 26 base32 digits of one case. The
	// instance name can hold dashes, so the last dash ends it.
	requestPattern = regexp.MustCompile(`^([A-Za-z0-9](?:[A-Za-z0-9-]{0,61}[A-Za-z0-9])?)-([a-z2-7]{26}|[A-Z2-7]{26})$`)
	// linePattern allows an instance name before the random part.
	linePattern = regexp.MustCompile(`^(?:[A-Za-z0-9](?:[A-Za-z0-9-]{0,61}[A-Za-z0-9])?-)?[A-Za-z0-9]{1,32}$`)
	// positionPattern allows one way to write each number.
	positionPattern = regexp.MustCompile(`^(0|[1-9][0-9]{0,9})$`)
)

// ID names a point in a response: the tokens of the line up to the position
// were delivered.
type ID struct {
	Request  model.RequestID
	Line     model.LineID
	Position int
}

// Format returns the text form. The parts of id must be valid.
func Format(id ID) string {
	return string(id.Request) + "." + string(id.Line) + "." + strconv.Itoa(id.Position)
}

// Parse reads the text form and refuses anything that Format does not write.
func Parse(text string) (ID, error) {
	if len(text) > maxLength {
		return ID{}, trace.BadParameter("event ID has %d bytes; at most %d are allowed", len(text), maxLength)
	}
	parts := strings.Split(text, ".")
	if len(parts) != 3 {
		return ID{}, trace.BadParameter("event ID %q must be <request>.<line>.<position>", text)
	}
	if _, err := Owner(model.RequestID(parts[0])); err != nil {
		return ID{}, err
	}
	if !linePattern.MatchString(parts[1]) {
		return ID{}, trace.BadParameter("line %q of an event ID must be 1 to 32 letters or digits, optionally after an instance name and a dash", parts[1])
	}
	position, err := parsePosition(parts[2])
	if err != nil {
		return ID{}, err
	}
	return ID{Request: model.RequestID(parts[0]), Line: model.LineID(parts[1]), Position: position}, nil
}

func parsePosition(text string) (int, error) {
	position, err := strconv.ParseInt(text, 10, 32)
	if err != nil || !positionPattern.MatchString(text) {
		return 0, trace.BadParameter("position %q of an event ID must be a number from 0 to 2147483647", text)
	}
	return int(position), nil
}

// Owner returns the instance that a request ID names.
func Owner(id model.RequestID) (model.InstanceID, error) {
	match := requestPattern.FindStringSubmatch(string(id))
	if match == nil {
		return "", trace.BadParameter("request ID %q must be <instance>-<26 base32 digits>", string(id))
	}
	return model.InstanceID(match[1]), nil
}
