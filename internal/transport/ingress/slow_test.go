package ingress

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"gotest.tools/v3/assert"
)

// Guards against a caller that does not read its stream and keeps its queue growing, and
// its request running, for as long as it leaves the connection open.
func TestCallerThatDoesNotReadIsCutOff(t *testing.T) {
	logged := memory.New()
	s := New(Options{Address: "127.0.0.1:0", Log: &log.Logger{Handler: logged}})
	ended := make(chan int, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := newExchange(s, w, "r1")
		x.Begin(http.StatusOK, nil)
		stop := make(chan struct{})
		fed := make(chan struct{})
		go func() {
			defer close(fed)
			event := make([]byte, 64<<10)
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Millisecond):
					x.Events(event)
				}
			}
		}()
		defer func() {
			_ = recover()
			close(stop)
			<-fed
			x.mu.Lock()
			defer x.mu.Unlock()
			ended <- x.queuedBytes
		}()
		x.run(r)
	}))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	select {
	case queued := <-ended:
		assert.DeepEqual(t, causes(logged), []string{causeSlowCaller})
		assert.Assert(t, queued <= 2*maxQueuedBytes, "%d bytes are queued", queued)
	case <-time.After(5 * time.Second):
		t.Fatal("the response is still being written")
	}
}
