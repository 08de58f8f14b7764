package forwardwire

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/forward"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/hop"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

const (
	// maxTimeLeft bounds the time that a caller can state in Names.TimeLeft.
	maxTimeLeft = 24 * time.Hour
	// maxPromptParts and maxTokenCount bound the prompt parts and each token count
	// that a request can state.
	maxPromptParts = 4096
	maxTokenCount  = 1 << 30
)

// DecodeRequest decodes the header of a caller's request. The error for a malformed
// field names the field. The body and the request target are left to the caller of
// DecodeRequest.
func (n Names) DecodeRequest(in http.Header, now time.Time) (*forward.Request, error) {
	req := &forward.Request{ID: model.RequestID(in.Get(n.Request)), Arrived: now}
	var err error
	if req.Deadline, err = n.deadline(in, now); err != nil {
		return nil, err
	}
	if req.LastPosition, err = n.lastEvent(in); err != nil {
		return nil, err
	}
	if req.Work, err = n.generation(in); err != nil {
		return nil, err
	}
	req.Credential = n.credential(in)
	req.Header = hop.EndToEnd(in)
	for _, name := range n.Reserved() {
		http.Header(req.Header).Del(name)
	}
	return req, nil
}

func (n Names) deadline(in http.Header, now time.Time) (time.Time, error) {
	text := in.Get(n.TimeLeft)
	if text == "" {
		return time.Time{}, nil
	}
	left, err := strconv.ParseInt(text, 10, 64)
	if err != nil || left < 0 {
		return time.Time{}, trace.BadParameter("header %s must be whole milliseconds, not %q", n.TimeLeft, text)
	}
	return now.Add(min(time.Duration(min(left, maxTimeLeft.Milliseconds()))*time.Millisecond, maxTimeLeft)), nil
}

func (n Names) lastEvent(in http.Header) (forward.Position, error) {
	text := in.Get(n.LastEvent)
	if text == "" {
		return 0, nil
	}
	position, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, trace.BadParameter("header %s must be a position, not %q", n.LastEvent, text)
	}
	return forward.Position(position), nil
}

// credential returns the credential in the Authorization field, or "" if the field's
// scheme is not the deployment's. Scheme names are not case-sensitive.
func (n Names) credential(in http.Header) string {
	scheme, value, found := strings.Cut(in.Get("Authorization"), " ")
	if !found || !strings.EqualFold(scheme, n.CredentialScheme) {
		return ""
	}
	return strings.TrimSpace(value)
}

func (n Names) generation(in http.Header) (forward.GenerationWork, error) {
	var g forward.GenerationWork
	if text := in.Get(n.Tokens); text != "" {
		prompt, output, found := strings.Cut(text, ",")
		var err1, err2 error
		g.PromptTokens, err1 = parseTokenCount(prompt)
		g.OutputTokens, err2 = parseTokenCount(output)
		if !found || err1 != nil || err2 != nil {
			return g, trace.BadParameter("header %s must be two token counts, not %q", n.Tokens, text)
		}
	}
	var err error
	if text := in.Get(n.PromptParts); text != "" {
		g.Parts, err = n.parts(text)
	}
	return g, err
}

func (n Names) parts(text string) ([]forward.PromptPart, error) {
	entries := strings.Split(text, ",")
	if len(entries) > maxPromptParts {
		return nil, trace.BadParameter("header %s has %d parts, at most %d are allowed", n.PromptParts, len(entries), maxPromptParts)
	}
	parts := make([]forward.PromptPart, 0, len(entries))
	for _, entry := range entries {
		id, count, found := strings.Cut(strings.TrimSpace(entry), ":")
		tokens, err := parseTokenCount(count)
		if !found || id == "" || err != nil {
			return nil, trace.BadParameter("header %s must list ID:TOKENS, not %q", n.PromptParts, entry)
		}
		parts = append(parts, forward.PromptPart{ID: id, Tokens: tokens})
	}
	return parts, nil
}

func parseTokenCount(text string) (int, error) {
	count, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || count < 0 || count > maxTokenCount {
		return 0, fmt.Errorf("token count %q is not between 0 and %d", text, maxTokenCount)
	}
	return count, nil
}
