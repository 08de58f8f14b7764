package engine

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/engineapi"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin"
)

func (e *Engine) routes() {
	e.mux.HandleFunc("POST "+engineapi.CompletionsPath, e.complete)
	e.mux.HandleFunc("GET "+engineapi.StreamPath+"{id}", e.attach)
	e.mux.HandleFunc("DELETE "+engineapi.StreamPath+"{id}", e.cancel)
	e.mux.HandleFunc("GET "+engineapi.HealthPath, e.health)
	e.mux.HandleFunc("GET "+engineapi.CacheEventsPath, e.cacheEvents)
	e.mux.HandleFunc("GET "+engineapi.StatePath, e.state)
	e.mux.HandleFunc("POST "+engineapi.OrdersPath, e.order)
	e.mux.HandleFunc("POST "+standin.LeavePath, e.leave)
	e.mux.HandleFunc("GET "+standin.StatsPath, func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, e.Stats())
	})
	e.faults.Serve(e.mux, func(Faults) { e.postSchedule() })
}

// complete accepts a request, starts its stream and sends the stream.
func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var request engineapi.CompletionRequest
	if err := standin.ReadJSON(w, r, &request); err != nil {
		answerError(w, err)
		return
	}
	faults := e.faults.Get()
	if faults.applyAtLoad(e.batch.status(time.Now()).load+1) && e.faults.Chance(faults.FailFraction) {
		e.batch.updateStats(func(s *Stats) { s.Failed++ })
		answerError(w, errInjected)
		return
	}
	version, err := e.control.resolveVersion(request)
	if err != nil {
		answerError(w, err)
		return
	}
	if request.StreamID == "" {
		request.StreamID = "cmpl-" + uuid.NewString()
	}
	reader, err := e.batch.add(newStream(request, version, e.opts.Noise), time.Now())
	if err != nil {
		answerError(w, err)
		return
	}
	e.postSchedule()
	defer e.detach(reader)
	if request.Stream {
		e.send(w, r, reader)
		return
	}
	e.sendNonStreaming(w, r, reader)
}

// attach sends a stream, from the position in the parameter after, to a new
// connection.
func (e *Engine) attach(w http.ResponseWriter, r *http.Request) {
	after, err := queryNumber(r, "after")
	if err != nil {
		answerError(w, err)
		return
	}
	reader, err := e.batch.attach(r.PathValue("id"), int(after))
	if err != nil {
		answerError(w, err)
		return
	}
	defer e.detach(reader)
	e.send(w, r, reader)
}

// detach removes a reader. When the stream has no reader left, its grace time
// starts.
func (e *Engine) detach(r *reader) {
	e.batch.detach(r, time.Now())
	e.postSchedule()
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	if !e.batch.cancel(r.PathValue("id")) {
		answerError(w, errNoStream)
		return
	}
	e.postSchedule()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) health(w http.ResponseWriter, _ *http.Request) {
	current := e.batch.status(time.Now())
	state := engineapi.StatusUp
	if current.leaving {
		state = engineapi.StatusLeaving
	}
	actual := e.control.reply().Actual
	slow := e.faults.Get().slowdown(current.load)
	standin.WriteJSON(w, http.StatusOK, engineapi.Health{
		Status:          state,
		Model:           actual.Model,
		Version:         actual.Version,
		Incarnation:     current.incarnation,
		Running:         current.reported.running,
		Waiting:         current.reported.waiting,
		TokenTimeMS:     slow * float64(e.opts.TokenTime) / float64(time.Millisecond),
		PrefillBytesSec: e.opts.PrefillRate / slow,
		LoadAt:          current.reported.at,
	})
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := queryNumber(r, "after")
	if err != nil {
		answerError(w, err)
		return
	}
	standin.WriteJSON(w, http.StatusOK, engineapi.CacheEvents{Events: e.batch.cacheEvents(after, time.Now())})
}

func (e *Engine) state(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, e.control.reply())
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var order engineapi.Order
	if err := standin.ReadJSON(w, r, &order); err != nil {
		answerError(w, err)
		return
	}
	if order.Desired.Model == "" || order.Desired.Version == "" {
		answerError(w, fmt.Errorf("the order names no model or no version"))
		return
	}
	result := e.control.order(order)
	e.batch.updateStats(func(s *Stats) {
		if result.stale {
			s.StaleOrders++
		}
		if result.applied {
			s.Orders++
		}
	})
	if !result.applied {
		answerError(w, errStaleOrder)
		return
	}
	if result.loadID != 0 {
		e.load(result.loadID, order.Desired)
	}
	standin.WriteJSON(w, http.StatusOK, result.reply)
}

func (e *Engine) leave(w http.ResponseWriter, r *http.Request) {
	var notice engineapi.LeavingNotice
	if err := standin.ReadJSON(w, r, &notice); err != nil {
		answerError(w, err)
		return
	}
	e.Leave(time.Duration(notice.DeadlineMS) * time.Millisecond)
	w.WriteHeader(http.StatusNoContent)
}

// queryNumber parses a query parameter. It returns zero for an absent parameter.
func queryNumber(r *http.Request, name string) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	number, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, fmt.Errorf("parameter %q is not a number: %w", name, err)
	}
	return number, nil
}
