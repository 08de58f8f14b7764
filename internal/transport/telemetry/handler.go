package telemetry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"unicode"

	"github.com/apex/log"
	"github.com/gravitational/trace"
)

// partField names the component that logs. It is printed as a prefix.
const partField = "part"

// timeFormat has milliseconds; the clocks of machines do not agree more closely.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// secretFields are never printed, whatever their value: they hold what callers
// send, what engines generate, and credentials.
var secretFields = map[string]bool{
	"prompt": true, "text": true, "authorization": true,
}

// Handler writes log entries as text or JSON, one line each.
type Handler struct {
	format func(*log.Entry) []byte
	mu     sync.Mutex // guards out; a leaf lock, taken after all ranked locks
	out    io.Writer
}

// NewHandler returns a handler that writes to out in the given format.
func NewHandler(out io.Writer, format string) (*Handler, error) {
	write, err := formatOf(format)
	if err != nil {
		return nil, err
	}
	return &Handler{format: write, out: out}, nil
}

func formatOf(name string) (func(*log.Entry) []byte, error) {
	switch name {
	case FormatText, "":
		return formatText, nil
	case FormatJSON:
		return formatJSON, nil
	}
	return nil, trace.BadParameter("log format must be text or json, not %q", name)
}

// HandleLog implements log.Handler.
func (h *Handler) HandleLog(e *log.Entry) error {
	line := h.format(e)
	h.mu.Lock()
	defer h.mu.Unlock()
	_, err := h.out.Write(line)
	return err
}

// prefixed returns the message with the name of its part as a prefix.
func prefixed(e *log.Entry) string {
	if part := partOf(e); part != "" {
		return part + ": " + e.Message
	}
	return e.Message
}

func partOf(e *log.Entry) string {
	part, _ := e.Fields[partField].(string)
	return part
}

// printable lists the names of the fields to print, sorted.
func printable(fields log.Fields) []string {
	var names []string
	for _, name := range fields.Names() {
		if name != partField && !secretFields[strings.ToLower(name)] {
			names = append(names, name)
		}
	}
	return names
}

func formatText(e *log.Entry) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %-5s %s", e.Timestamp.UTC().Format(timeFormat), e.Level, oneLine(prefixed(e)))
	for _, name := range printable(e.Fields) {
		fmt.Fprintf(&b, " %s=%s", name, quoted(e.Fields[name]))
	}
	b.WriteByte('\n')
	return b.Bytes()
}

// oneLine quotes a message with control characters, which could otherwise forge
// a second entry.
func oneLine(text string) string {
	if !strings.ContainsFunc(text, unicode.IsControl) {
		return text
	}
	return strconv.Quote(text)
}

func quoted(value any) string {
	text := fmt.Sprint(value)
	if text == "" || strings.ContainsFunc(text, needsQuotes) {
		return strconv.Quote(text)
	}
	return text
}

func needsQuotes(r rune) bool {
	return unicode.IsSpace(r) || unicode.IsControl(r) || r == '"' || r == '='
}

// jsonEntry is one line of the JSON format.
type jsonEntry struct {
	Time    string         `json:"time"`
	Level   string         `json:"level"`
	Part    string         `json:"part,omitempty"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields,omitempty"`
}

func formatJSON(e *log.Entry) []byte {
	entry := jsonEntry{
		Time:    e.Timestamp.UTC().Format(timeFormat),
		Level:   e.Level.String(),
		Part:    partOf(e),
		Message: prefixed(e),
		Fields:  map[string]any{},
	}
	for _, name := range printable(e.Fields) {
		entry.Fields[name] = jsonValue(e.Fields[name])
	}
	// The values are strings, numbers and booleans, which always encode.
	line, _ := json.Marshal(entry)
	return append(line, '\n')
}

// jsonValue keeps integers and booleans and formats all other values as strings.
func jsonValue(value any) any {
	switch value.(type) {
	case bool, int, int32, int64, uint, uint32, uint64:
		return value
	}
	return fmt.Sprint(value)
}
