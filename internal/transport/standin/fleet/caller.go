package fleet

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Rules is a format string of routing rules for the services engine and desk. Its
// verb takes the version of the rules.
const Rules = `{"version":%d,"routes":[
{"name":"log","host":"h.example","prefix":"/log/","kind":"streaming","resumable":true,"timeoutMs":25000,"targetLatencyMs":4500,"targetGapMs":700,"service":"engine","maxAttempts":5},
{"name":"tell","host":"h.example","prefix":"/tell/","kind":"streaming","timeoutMs":25000,"targetLatencyMs":4500,"targetGapMs":700,"service":"engine","maxAttempts":1},
{"name":"book","host":"h.example","prefix":"/book/","kind":"non_idempotent","timeoutMs":5000,"targetLatencyMs":300,"service":"desk","maxAttempts":1},
{"name":"read","host":"h.example","prefix":"/read/","kind":"idempotent","timeoutMs":5000,"targetLatencyMs":300,"service":"desk","maxAttempts":2}],
"services":[{"name":"engine","runtime":{"slots":8,"kvCapacity":55000,"replicas":true,"stepSize":6,"handleTtlS":4}},{"name":"desk"}],
"limits":{"maxBodyBytes":65536},"tenants":[{"name":"org","apiKeys":["key"]}]}`

// CallerRequest describes a caller's request to a route of Rules.
type CallerRequest struct {
	ID              string
	Address         string // IP:port of an instance
	Path            string // below /log/, /tell/, /book/ or /read/
	APIKey          string
	Deadline        time.Duration
	PromptTokens    int    // length in tokens
	MaxOutputTokens int    // maximum length in tokens
	PromptPrefix    string // ID of a prompt prefix that other requests share; empty means none
	LastEventID     int    // position of the last event that the caller has received
}

// Request returns the HTTP request that a caller sends.
func (a CallerRequest) Request(ctx context.Context) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.Address+a.Path, strings.NewReader("prompt"))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // keeps the transport from sending the request again
	req.Host = "h.example"
	req.Header.Set("X-Attempt-Id", a.ID)
	req.Header.Set("X-Deadline-Remaining", strconv.FormatInt(a.Deadline.Milliseconds(), 10))
	req.Header.Set("X-Token-Usage", strconv.Itoa(a.PromptTokens)+","+strconv.Itoa(a.MaxOutputTokens))
	req.Header.Set("Authorization", "Token "+a.APIKey)
	if a.PromptPrefix != "" {
		req.Header.Set("X-Prompt-Prefix", a.PromptPrefix+":"+strconv.Itoa(a.PromptTokens))
	}
	if a.LastEventID > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(a.LastEventID))
	}
	return req, nil
}

// ReadEvent reads the next event of a stream of server-sent events. With an error
// it returns the text that was read before.
func ReadEvent(in *bufio.Reader) (string, error) {
	var event strings.Builder
	for {
		line, err := in.ReadString('\n')
		event.WriteString(line)
		if err != nil {
			return event.String(), err
		}
		if line == "\n" {
			return event.String(), nil
		}
	}
}

// FormatEvent returns the event that a worker sends at a position of a request's
// stream.
func FormatEvent(request string, position int) string {
	at := strconv.Itoa(position)
	return "id: " + at + "\ndata: " + request + "." + at + "\n\n"
}
