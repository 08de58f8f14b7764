// Package controllink connects the two processes of an instance. The entry
// process follows its control process's views and sends reports. When the
// control process is away, the entry process keeps its last view and connects
// again.
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
	viewInterval   = 200 * time.Millisecond // between two looks for changes
	reportInterval = 200 * time.Millisecond
	reportTimeout  = time.Second
	reconnectPause = 200 * time.Millisecond
)

// ServeViews returns the handler of view streams in a control process.
// followed is told when the entry process comes and goes.
func ServeViews(tables view.Tables, followed func(bool)) peer.Handler {
	return peer.HandlerFunc(func(ctx context.Context, _ peer.Peer, _ peerwire.Message, w peer.MessageWriter) error {
		followed(true)
		defer followed(false)
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

// ServeReports returns the handler of reports in a control process. take hands
// a report over to a worker.
func ServeReports(take func(view.Report)) peer.Handler {
	return peer.HandlerFunc(func(_ context.Context, _ peer.Peer, m peerwire.Message, w peer.MessageWriter) error {
		report, err := peerwire.DecodeReport(m)
		if err != nil {
			return err
		}
		take(report)
		reply, err := peerwire.ReportReply()
		if err != nil {
			return err
		}
		return w.Write(reply)
	})
}

// Link is the entry process's end.
type Link struct {
	Client  *peer.Client
	Control string // UDP address of the control process
	Log     log.Interface

	following atomic.Bool
	contact   atomic.Int64 // Unix nanoseconds of the end of the last contact; 0 for none
}

// Age returns the time since the process was in touch with its control
// process, and false if it never was. A control process that no longer answers
// is noticed by the probes of the connection, within 2 s.
func (l *Link) Age(now time.Time) (time.Duration, bool) {
	if l.following.Load() {
		return 0, true
	}
	contact := l.contact.Load()
	return max(0, now.Sub(time.Unix(0, contact))), contact != 0
}

// lost notes the end of a contact.
func (l *Link) lost() {
	if l.following.Load() {
		l.contact.Store(time.Now().UnixNano())
		l.following.Store(false)
	}
}

// Follow hands each view over until ctx ends.
func (l *Link) Follow(ctx context.Context, take func(view.View)) {
	for ctx.Err() == nil {
		err := l.followOnce(ctx, take)
		if ctx.Err() != nil {
			return
		}
		l.Log.WithError(err).Warn("control process is away, the last view stays in force")
		_ = wait.Sleep(ctx, reconnectPause)
	}
}

func (l *Link) followOnce(ctx context.Context, take func(view.View)) error {
	request, err := peerwire.ViewRequest()
	if err != nil {
		return err
	}
	stream, err := l.Client.Stream(ctx, l.Control, request)
	if err != nil {
		return err
	}
	defer stream.Close()
	defer l.lost()
	for {
		m, err := stream.Next(ctx)
		if err != nil {
			return err
		}
		v, err := peerwire.DecodeView(m)
		if err != nil {
			return err
		}
		l.following.Store(true)
		take(v)
	}
}

// SendReports sends what the reporter finds until ctx ends. draining is read
// for each report.
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
	_, err = l.Client.Request(ctx, l.Control, m)
	return err
}
