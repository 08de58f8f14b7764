// Package controllink connects the two processes of an instance. The entry
// process subscribes to the views of its control process and sends it reports.
// While the control process is unreachable, the entry process keeps its last
// view and tries to reconnect.
package controllink

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/view"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/peerwire"
	"github.com/sequoiavalve/sequoiavalve/internal/state/wait"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/peer"
)

const (
	viewInterval   = 200 * time.Millisecond // between two checks for changes
	reportInterval = 200 * time.Millisecond
	reportTimeout  = time.Second
	reconnectPause = 200 * time.Millisecond
)

// ServeViews returns the handler of view streams in a control process.
// setSubscribed is called with true when the entry process opens a view stream
// and with false when that stream ends.
func ServeViews(tables view.Tables, setSubscribed func(bool)) peer.Handler {
	return peer.HandlerFunc(func(ctx context.Context, _ peer.Peer, _ peerwire.Message, w peer.MessageWriter) error {
		setSubscribed(true)
		defer setSubscribed(false)
		publisher := view.NewPublisher(tables)
		ticker := time.NewTicker(viewInterval)
		defer ticker.Stop()
		for {
			if err := sendChanges(publisher, w); err != nil {
				return err
			}
			select {
			case <-tables.Documents.Changed():
			case <-tables.Suspects.Changed():
			case <-ticker.C:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	})
}

func sendChanges(publisher *view.Publisher, w peer.MessageWriter) error {
	v := publisher.Next(time.Now())
	if v.Empty() {
		return nil
	}
	m, err := peerwire.EncodeView(v)
	if err != nil {
		return err
	}
	return w.Write(m)
}

// ServeReports returns the handler of reports in a control process. handle
// passes a report to a worker.
func ServeReports(handle func(view.Report)) peer.Handler {
	return peer.HandlerFunc(func(_ context.Context, _ peer.Peer, m peerwire.Message, w peer.MessageWriter) error {
		report, err := peerwire.DecodeReport(m)
		if err != nil {
			return err
		}
		handle(report)
		reply, err := peerwire.ReportReply()
		if err != nil {
			return err
		}
		return w.Write(reply)
	})
}

// Link is the entry process's end of the connection to its control process.
type Link struct {
	Client         *peer.Client
	ControlAddress string // UDP address of the control process
	Log            log.Interface

	connected   atomic.Bool  // a view has arrived on the open stream
	lastContact atomic.Int64 // Unix nanoseconds at which the last stream with a view ended; 0 for none
}

// Age returns the time since the last contact with the control process: zero
// while views are received, and false if there was no contact yet. The
// connection's keep-alive probes detect a control process that no longer answers
// within 2 s.
func (l *Link) Age(now time.Time) (time.Duration, bool) {
	if l.connected.Load() {
		return 0, true
	}
	contact := l.lastContact.Load()
	return max(0, now.Sub(time.Unix(0, contact))), contact != 0
}

// disconnected stores the time at which a stream with a view ended.
func (l *Link) disconnected() {
	if l.connected.Load() {
		l.lastContact.Store(time.Now().UnixNano())
		l.connected.Store(false)
	}
}

// Follow calls handle with each view until ctx ends. It reconnects after the
// stream of views has ended.
func (l *Link) Follow(ctx context.Context, handle func(view.View)) {
	for ctx.Err() == nil {
		err := l.followOnce(ctx, handle)
		if ctx.Err() != nil {
			return
		}
		l.Log.WithError(err).Warn("control process is unreachable, the last view stays in use")
		_ = wait.Sleep(ctx, reconnectPause)
	}
}

func (l *Link) followOnce(ctx context.Context, handle func(view.View)) error {
	request, err := peerwire.ViewRequest()
	if err != nil {
		return err
	}
	stream, err := l.Client.Stream(ctx, l.ControlAddress, request)
	if err != nil {
		return err
	}
	defer stream.Close()
	defer l.disconnected()
	for {
		m, err := stream.Next(ctx)
		if err != nil {
			return err
		}
		v, err := peerwire.DecodeView(m)
		if err != nil {
			return err
		}
		l.connected.Store(true)
		handle(v)
	}
}

// SendReports sends the reporter's reports, except empty ones, until ctx ends.
// draining is called for each report.
func (l *Link) SendReports(ctx context.Context, reporter *view.Reporter, draining func() bool) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	failed := false
	for {
		report := reporter.Next(time.Now(), failed)
		report.Draining = draining()
		failed = !report.Empty() && l.send(ctx, report) != nil
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (l *Link) send(ctx context.Context, report view.Report) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	m, err := peerwire.EncodeReport(report)
	if err != nil {
		return err
	}
	_, err = l.Client.Request(ctx, l.ControlAddress, m)
	return err
}
