// Package eventid encodes and decodes the IDs of server-sent events,
// "<request>.<line>.<position>", and finds the instance that a request ID names.
package eventid

import (
	"regexp"
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// maxIDBytes bounds an event ID: 63 bytes for the request's instance, 27 for the
// request's random part, 96 for the line, which can start with another instance, 10
// for the position, and the separators.
const maxIDBytes = 220

var (
	// requestPattern matches an instance name, a dash and 128 random bits as 26
	// base32 digits of one case. The instance name can contain dashes; the last
	// dash ends it.
	requestPattern = regexp.MustCompile(`^([A-Za-z0-9](?:[A-Za-z0-9-]{0,61}[A-Za-z0-9])?)-([a-z2-7]{26}|[A-Z2-7]{26})$`)
	// linePattern matches a random part, optionally after an instance name and a
	// dash.
	linePattern = regexp.MustCompile(`^(?:[A-Za-z0-9](?:[A-Za-z0-9-]{0,61}[A-Za-z0-9])?-)?[A-Za-z0-9]{1,32}$`)
	// positionPattern matches a decimal number without sign and leading zeros, so
	// that each position has one text form.
	positionPattern = regexp.MustCompile(`^(0|[1-9][0-9]{0,9})$`)
)

// ID names a point in a response: the tokens of the line up to the position
// were delivered.
type ID struct {
	Request  model.RequestID
	Line     model.LineID
	Position int
}

// Format returns the text form of id. The fields of id must be valid.
func Format(id ID) string {
	return string(id.Request) + "." + string(id.Line) + "." + strconv.Itoa(id.Position)
}

// Parse decodes the text form. It refuses any text that Format does not return.
func Parse(text string) (ID, error) {
	if len(text) > maxIDBytes {
		return ID{}, trace.BadParameter("event ID has %d bytes; at most %d are allowed", len(text), maxIDBytes)
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

// Owner returns the instance whose name starts a request ID.
func Owner(id model.RequestID) (model.InstanceID, error) {
	match := requestPattern.FindStringSubmatch(string(id))
	if match == nil {
		return "", trace.BadParameter("request ID %q must be <instance>-<26 base32 digits>", string(id))
	}
	return model.InstanceID(match[1]), nil
}
