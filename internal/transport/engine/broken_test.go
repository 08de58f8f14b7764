package engine

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/continuation"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/order"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/relay"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/keptconn"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin/rawhttp"
	"gotest.tools/v3/assert"
)

// lossChannel is a relay.Events that sends the kinds of loss to a channel.
type lossChannel struct {
	recorder
	losses chan continuation.Loss
}

func (c lossChannel) Lost(kind continuation.Loss, _ continuation.Detail) { c.losses <- kind }

// startForm starts an engine that answers with the form.
func startForm(t *testing.T, form rawhttp.Form, body string) model.Upstream {
	t.Helper()
	s, err := form.Start(func(*http.Request) string { return "" }, body)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return model.Upstream{ID: "u", Address: s.Address()}
}

// uploadText returns a text that a request needs for the form.
func uploadText(form rawhttp.Form) string {
	if form.NeedsUpload {
		return strings.Repeat("a", rawhttp.UploadBytes)
	}
	return "a"
}

// Guards against a generation that counts as whole, or as rejected by its engine, by bytes
// that are no answer.
func TestBrokenAnswersAreLosses(t *testing.T) {
	const events = "data: {\"id\":\"s\",\"choices\":[{\"position\":0,\"tokens\":[\"a\"]}]}\n\n"
	for _, form := range rawhttp.BrokenAnswers() {
		for _, refused := range []bool{false, true} {
			f := form
			if refused {
				f = form.WithStatus("400 Bad Request")
			}
			up := startForm(t, f, events)
			c := New()
			got := lossChannel{losses: make(chan continuation.Loss, 10)}
			c.Start(up, relay.StreamRequest{Stream: "s", Spec: model.GenerationSpec{Prompt: uploadText(form)}}, &got)
			select {
			case kind := <-got.losses:
				assert.Check(t, kind != continuation.LossRejected, "%s, refused: %t: %s", form.Name, refused, kind)
			case <-time.After(10 * time.Second):
				t.Errorf("%s: no loss", form.Name)
			}
			c.Close()
		}
	}
}

// Guards against an order that counts as done, or as overtaken by a later one, by bytes
// that are no answer.
func TestBrokenAnswersOfOrdersAreErrors(t *testing.T) {
	for _, form := range rawhttp.BrokenAnswers() {
		for _, refused := range []bool{false, true} {
			f := form
			if refused {
				f = form.WithStatus("409 Conflict")
			}
			up := startForm(t, f, "{}")
			o := NewOrders()
			err := o.Order(t.Context(), up, 1, order.State{Model: uploadText(form)})
			assert.Check(t, err != nil, form.Name)
			assert.Check(t, !errors.Is(err, order.ErrStaleFencing), "%s, refused: %t", form.Name, refused)
			if !form.NeedsUpload { // a read has no body
				_, err := o.State(t.Context(), up)
				assert.Check(t, err != nil, "state: %s", form.Name)
			}
			o.Close()
		}
	}
}

// Guards against a broken answer of a live engine that counts as a broken connection, which
// concerns all streams of the engine.
func TestBrokenHeadsAreNoBrokenConnections(t *testing.T) {
	broken := fmt.Errorf("read: %w", keptconn.ErrBroken)
	assert.Equal(t, lossOf(broken), continuation.LossTruncated)
	assert.Equal(t, lossOf(io.ErrUnexpectedEOF), continuation.LossReset)
	for err, want := range map[error]continuation.Loss{broken: continuation.LossTruncated, io.ErrUnexpectedEOF: continuation.LossReset} {
		kind, _ := lossOfStatus(&http.Response{StatusCode: http.StatusServiceUnavailable, Body: io.NopCloser(iotest.ErrReader(err))})
		assert.Equal(t, kind, want, "%v", err)
	}
}

// Guards against a refusal that decides although it was not read to its end, where it may
// be broken.
func TestLongRefusalsAreUndecided(t *testing.T) {
	for status, whole := range map[int]continuation.Loss{
		400: continuation.LossRejected, 404: continuation.LossNoStream, 409: continuation.LossVersion, 429: continuation.LossBusy, 503: continuation.LossBusy,
	} {
		for size, want := range map[int]continuation.Loss{maxErrorBytes: whole, maxErrorBytes + 1: continuation.LossStatus, 2 * maxErrorBytes: continuation.LossStatus} {
			body := strings.NewReader(strings.Repeat("a", size))
			kind, _ := lossOfStatus(&http.Response{StatusCode: status, Body: io.NopCloser(body)})
			assert.Check(t, kind == want, "%d with %d bytes: %s", status, size, kind)
		}
		cut := io.MultiReader(strings.NewReader(strings.Repeat("a", maxErrorBytes)), iotest.ErrReader(keptconn.ErrBroken))
		kind, _ := lossOfStatus(&http.Response{StatusCode: status, Body: io.NopCloser(cut)})
		assert.Check(t, kind == continuation.LossTruncated, "%d, broken at the limit: %s", status, kind)
	}
}
