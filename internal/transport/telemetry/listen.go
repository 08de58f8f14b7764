package telemetry

import (
	"errors"
	"net/http"
	"time"

	"github.com/apex/log"
)

const metricsHeaderTime = time.Second // for the header of a scrape

// ServeMetrics serves the handler on an address of its own, or nowhere if the
// address is empty. A process works without its metrics, so a fault is only
// logged. stop ends the server and waits for it.
func ServeMetrics(address string, handler http.Handler) (stop func()) {
	if address == "" {
		return func() {}
	}
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: metricsHeaderTime}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
			log.WithField(partField, "telemetry").WithError(err).Error("metrics are not served")
		}
	}()
	return func() {
		_ = server.Close() // scrapes can be repeated elsewhere
		<-ended
	}
}
