package callerserver

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/problem"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

type endpointsReply struct {
	Endpoints  []endpoint `json:"endpoints"`
	TTLSeconds int        `json:"ttl_seconds"`
}

type endpoint struct {
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
}

// endpoints lists the instances that the caller should use, best first.
func (s *Server) endpoints(x *exchange) {
	if !s.allowMethods(x, http.MethodGet, http.MethodHead) {
		return
	}
	// The address includes the port: callers behind one address would otherwise
	// all be sent to the same instance.
	key := x.r.RemoteAddr + "/" + string(x.organisation)
	instances, ttl := s.opts.Endpoints.Endpoints(key, time.Now())
	reply := endpointsReply{Endpoints: []endpoint{}, TTLSeconds: int(ttl / time.Second)}
	for _, in := range instances {
		reply.Endpoints = append(reply.Endpoints, endpoint{in.CallerAddress, string(in.FailureDomain)})
	}
	s.writeJSON(x, reply)
}

// health reports that the process is running.
func (s *Server) health(x *exchange) {
	s.writeJSON(x, map[string]string{"status": "ok"})
}

// ready reports whether new callers should use this instance.
func (s *Server) ready(x *exchange) {
	refusal := s.opts.Frontend.Ready()
	if s.leaving.Load() {
		refusal = &model.Refusal{Code: problem.CodeLeaving, Message: "This instance is leaving.", Outcome: model.OutcomeNotRun}
	}
	if refusal != nil {
		_ = problem.Write(x.w, x.id, refusal) // the prober retries
		return
	}
	s.writeJSON(x, map[string]string{"status": "ready"})
}

func (s *Server) writeJSON(x *exchange, value any) {
	x.w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(x.w).Encode(value); err != nil {
		s.opts.Log.WithField("request_id", string(x.id)).Debug("response not delivered")
	}
}
