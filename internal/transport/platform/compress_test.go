package platform_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/store"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/platform"
	standin "github.com/sequoiavalve/sequoiavalve/internal/transport/standin/platform"
)

// countingWriter counts the bytes of bodies as they go over the wire.
type countingWriter struct {
	http.ResponseWriter
	written *atomic.Int64
}

func (w countingWriter) Write(p []byte) (int, error) {
	w.written.Add(int64(len(p)))
	return w.ResponseWriter.Write(p)
}

// Guards against a list or a document source that is sent uncompressed and
// exceeds the traffic budget, and against one whose content changes in transit.
func TestLargeAnswersAreCompressed(t *testing.T) {
	server, written := standin.New(standin.Options{}), &atomic.Int64{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		server.ServeHTTP(countingWriter{w, written}, r)
	}))
	defer s.Close()
	client, err := platform.New(platform.Options{BaseURL: s.URL})
	assert.NilError(t, err)
	defer client.Close()
	ctx, objects, directory := context.Background(), platform.NewObjects(client), platform.NewDirectory(client)
	for _, n := range []int{10, 10_000} {
		body := []byte(strings.Repeat("row ", n))
		key := fmt.Sprint(n)
		assert.NilError(t, objects.PutObject(ctx, key, body))
		written.Store(0)
		got, err := objects.GetObject(ctx, key)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, body))
		assert.Assert(t, written.Load() <= 1400, "%d bytes", written.Load())
	}
	for i := range 100 {
		in := model.Instance{ID: model.InstanceID(fmt.Sprintf("i%d", i)), Region: "region-1", State: model.InstanceLive}
		assert.NilError(t, directory.RegisterInstance(ctx, in))
	}
	written.Store(0)
	machines, err := directory.List(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(machines.Instances), 100)
	assert.Assert(t, written.Load() <= 1400, "%d bytes", written.Load())
}

// Guards against a truncated answer that is taken as complete, and against a
// compressed answer that fills the memory.
func TestBadCompressedAnswers(t *testing.T) {
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	_, err := io.CopyN(w, zeros{}, 65<<20) // one MiB above the limit
	assert.NilError(t, err)
	assert.NilError(t, w.Close())
	for name, body := range map[string][]byte{
		"too long": compressed.Bytes(), "cut": compressed.Bytes()[:1000], "not compressed": []byte("plain text"), "empty": nil,
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Encoding", "gzip")
			_, _ = w.Write(body)
		}))
		client, err := platform.New(platform.Options{BaseURL: s.URL})
		assert.NilError(t, err)
		_, err = platform.NewObjects(client).GetObject(context.Background(), "key")
		assert.ErrorIs(t, err, store.ErrUnavailable, name)
		client.Close()
		s.Close()
	}
}

// zeros is an endless reader of zero bytes.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// Guards against an answer that is compressed for a client that does not accept
// compression.
func TestCompressionIsNegotiated(t *testing.T) {
	s := httptest.NewServer(standin.New(standin.Options{}))
	defer s.Close()
	client, err := platform.New(platform.Options{BaseURL: s.URL})
	assert.NilError(t, err)
	defer client.Close()
	assert.NilError(t, platform.NewObjects(client).PutObject(context.Background(), "key", make([]byte, 5000)))
	tags := map[string]string{}
	for accept, want := range map[string]string{
		"gzip": "gzip", "br, gzip;q=0.5": "gzip", "GZIP": "gzip", "gzip;q=0": "", "gzip; q=0.0": "", "br": "", "identity": "",
	} {
		req, err := http.NewRequest(http.MethodGet, s.URL+"/objects/key", nil)
		assert.NilError(t, err)
		req.Header.Set("Accept-Encoding", accept)
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.Header.Get("Content-Encoding"), want, accept)
		tags[want] = resp.Header.Get("ETag")
	}
	assert.Assert(t, tags["gzip"] != tags[""])
}
