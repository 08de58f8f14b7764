package backend

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/gravitational/trace"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/forward"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/answerlimit"
)

const (
	discardTimeout = 500 * time.Millisecond
	// maxEngineAnswerBytes limits the answer to an engine call. A list of prompts
	// takes about 60 bytes for each prompt.
	maxEngineAnswerBytes = 1 << 20
)

// EngineAPI describes the control calls that engines accept in addition to
// forwarded requests.
type EngineAPI struct {
	StatePath string // path of an engine's state
	// DecodeIncarnation returns the incarnation in the answer of StatePath, and 0 if the
	// answer has none.
	DecodeIncarnation func(answer []byte) uint64
	// DecodeState decodes the answer of StatePath.
	DecodeState func(answer []byte) (forward.EngineState, error)
	CopyPath    string // path for orders to copy the engine's memory of a stream to another engine
	// DiscardPath, followed by the handle of a copy, is the path that frees it.
	DiscardPath string
	// EncodeCopy returns the body of an order to copy, and DecodeCopy the handle
	// of the copy from the answer.
	EncodeCopy          func(request model.RequestID, to string) ([]byte, error)
	DecodeCopy          func(answer []byte) (handle string, err error)
	CachedPromptsPath   string // path of the list of the prompts in an engine's memory
	DecodeCachedPrompts func(answer []byte) ([]forward.CachedPart, error)
}

// Probe implements forward.Sender. An engine that answers counts as alive even
// if its state cannot be decoded.
func (c *Client) Probe(up model.Upstream, timeout time.Duration, answered func(forward.EngineState, error)) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		answer, err := c.callEngine(ctx, http.MethodGet, up, c.engine.StatePath, nil)
		if err != nil {
			answered(forward.EngineState{}, err)
			return
		}
		state, err := c.engine.DecodeState(answer)
		if err != nil {
			log.WithField("part", "backend").WithField("upstream", string(up.ID)).WithError(err).Warn("engine state could not be decoded")
		}
		answered(state, nil)
	}()
}

// CheckStopped implements forward.Sender. The upstream has ended if its port refuses or
// resets a connection.
func (c *Client) CheckStopped(up model.Upstream, timeout time.Duration, answered func(ended bool)) {
	go func() {
		conn, err := net.DialTimeout("tcp", up.Address, timeout)
		if err == nil {
			err = conn.Close()
		}
		answered(errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET))
	}()
}

// CachedParts implements forward.Sender.
func (c *Client) CachedParts(up model.Upstream, timeout time.Duration, answered func([]forward.CachedPart, error)) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		answer, err := c.callEngine(ctx, http.MethodGet, up, c.engine.CachedPromptsPath, nil)
		if err != nil {
			answered(nil, err)
			return
		}
		answered(c.engine.DecodeCachedPrompts(answer))
	}()
}

// RequestCopy implements forward.Sender.
func (c *Client) RequestCopy(from model.Upstream, request model.RequestID, to model.Upstream, timeout time.Duration, copied func(string, error)) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		copied(c.copy(ctx, from, request, to))
	}()
}

func (c *Client) copy(ctx context.Context, from model.Upstream, request model.RequestID, to model.Upstream) (string, error) {
	body, err := c.engine.EncodeCopy(request, to.Address)
	if err != nil {
		return "", err
	}
	answer, err := c.callEngine(ctx, http.MethodPost, from, c.engine.CopyPath, body)
	if trace.IsNotFound(err) {
		return "", forward.ErrStreamUnknown
	}
	if err != nil {
		return "", err
	}
	return c.engine.DecodeCopy(answer)
}

// DiscardCopy implements forward.Sender. A copy that cannot be freed expires after
// some seconds.
func (c *Client) DiscardCopy(from model.Upstream, handle string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), discardTimeout)
		defer cancel()
		if _, err := c.callEngine(ctx, http.MethodDelete, from, c.engine.DiscardPath+handle, nil); err != nil {
			log.WithField("part", "backend").WithField("upstream", string(from.ID)).WithError(err).Debug("copy not freed")
		}
	}()
}

// checkAlive returns an error unless the process that got the send answers a call. Any
// answer shows that: a plain service need not know the path.
func (c *Client) checkAlive(ctx context.Context, s forward.Send) error {
	answer, status, err := c.exchange(ctx, http.MethodGet, s.Upstream, c.engine.StatePath, nil)
	switch {
	case err != nil:
		return err
	case status == http.StatusMisdirectedRequest:
		return trace.NotFound("another upstream has the address of %q", s.Upstream.ID)
	case c.engine.DecodeIncarnation == nil || s.Incarnation == 0:
		return nil
	}
	if now := c.engine.DecodeIncarnation(answer); now != 0 && now != s.Incarnation {
		return trace.NotFound("upstream %q has restarted", s.Upstream.ID)
	}
	return nil
}

// callEngine makes one call to an engine and returns the body of an answer with a status
// of success.
func (c *Client) callEngine(ctx context.Context, method string, up model.Upstream, path string, body []byte) ([]byte, error) {
	answer, status, err := c.exchange(ctx, method, up, path, body)
	switch {
	case err != nil:
		return nil, err
	case status == http.StatusNotFound:
		return nil, trace.NotFound("%s %s at %q was answered with status 404", method, path, up.ID)
	case status/100 != http.StatusOK/100:
		return nil, trace.ConnectionProblem(nil, "%s %s at %q was answered with status %d", method, path, up.ID, status)
	}
	return answer, nil
}

// exchange makes one call to an upstream over a new connection and returns the body and
// the status of the answer. A header names the upstream, so that no other upstream at its
// address answers.
func (c *Client) exchange(ctx context.Context, method string, up model.Upstream, path string, body []byte) (answer []byte, status int, err error) {
	target := url.URL{Scheme: "http", Host: up.Address, Path: path}
	out, err := http.NewRequestWithContext(ctx, method, target.String(), bytes.NewReader(body))
	if err != nil {
		return nil, 0, trace.Wrap(err)
	}
	if len(body) > 0 {
		out.Header.Set("Content-Type", "application/json")
	}
	c.names.Expect(out.Header, up.ID)
	in, err := c.unpooled.RoundTrip(out)
	if err != nil {
		return nil, 0, trace.ConnectionProblem(err, "%s %s at %q: %v", method, path, up.ID, err)
	}
	reserved := answerlimit.Reserve(c.memory)
	defer reserved.Release()
	answer, err = reserved.ReadAll(in.Body, answerlimit.LengthOf(in), maxEngineAnswerBytes)
	if err := trace.NewAggregate(err, in.Body.Close()); err != nil {
		return nil, 0, err
	}
	return answer, in.StatusCode, nil
}
