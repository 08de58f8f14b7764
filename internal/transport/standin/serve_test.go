package standin_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	platformclient "github.com/sequoiavalve/sequoiavalve/internal/transport/platform"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin/platform"
)

// Guards against a stand-in that other machines can reach, and against an
// unclear message when two stand-ins are given the same port.
func TestListenRefusesOtherAddresses(t *testing.T) {
	listener, err := standin.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	_, err = standin.Listen(listener.Addr().String())
	assert.ErrorContains(t, err, listener.Addr().String()+" is in use by another process")
	for _, address := range []string{"0.0.0.0:0", ":0", "192.0.2.1:80"} {
		_, err = standin.Listen(address)
		assert.ErrorContains(t, err, "not a loopback address")
	}
	_, err = standin.Listen("nonsense")
	assert.ErrorContains(t, err, "not IP:port")
}

// Guards against a stop that cuts a request in flight.
func TestStopWaitsForRequestsInFlight(t *testing.T) {
	listener, err := standin.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	entered, drained := make(chan struct{}), make(chan struct{})
	server := standin.Server{
		Grace:    10 * time.Second,
		Draining: func() { close(drained) },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			close(entered)
			<-drained
			_, _ = w.Write([]byte("whole"))
		}),
	}
	result := make(chan error, 1)
	go func() { result <- server.Run(ctx, listener) }()
	go func() {
		<-entered
		stop()
	}()
	response, err := http.Get("http://" + listener.Addr().String())
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "whole")
	assert.NilError(t, <-result)
}

// Guards against a registration that gives up while the platform is down, and
// against a fetch of weights that ignores the rate limit of the weight store.
func TestUpstreamsUseAFaultyPlatform(t *testing.T) {
	stub := platform.New(platform.Options{Faults: platform.Faults{Down: true, WeightsPerSecond: 1}})
	server := httptest.NewServer(stub)
	defer server.Close()
	client, err := platformclient.New(platformclient.Options{BaseURL: server.URL})
	assert.NilError(t, err)
	defer client.Close()
	registration := standin.NewRegistration(client, model.Upstream{ID: "e1", Kind: model.KindEngine})
	time.AfterFunc(300*time.Millisecond, func() { stub.SetFaults(platform.Faults{WeightsPerSecond: 1}) })
	registration.Register(t.Context())
	registration.Leave()
	machines, err := platformclient.NewDirectory(client).List(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, machines.Upstreams[0].Leaving)
	registration.Remove()

	fetch := standin.FetchWeights(client)
	began := time.Now()
	assert.NilError(t, fetch(t.Context(), "m/v1"))
	assert.NilError(t, fetch(t.Context(), "m/v2"))
	assert.Assert(t, time.Since(began) >= 900*time.Millisecond)
	assert.Equal(t, stub.Stats().Weights, int64(2))
}
