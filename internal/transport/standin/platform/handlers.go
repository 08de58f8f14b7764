package platform

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/platformapi"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin"
)

func (p *Platform) getRow(w http.ResponseWriter, r *http.Request) {
	got, ok := p.data.get(r.PathValue("table"), r.PathValue("key"))
	if !ok {
		notFound(w)
		return
	}
	w.Header().Set("ETag", got.etag)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(got.value) // the client notices a truncated response
}

func (p *Platform) listRows(w http.ResponseWriter, r *http.Request) {
	rows := p.data.list(r.PathValue("table"), platformapi.ListPrefix(r.URL.Query()))
	standin.WriteJSON(w, http.StatusOK, platformapi.RowList{Rows: rows})
}

func (p *Platform) putRow(w http.ResponseWriter, r *http.Request) {
	body, err := standin.ReadBody(w, r)
	if err != nil || !json.Valid(body) {
		writeError(w, http.StatusBadRequest, platformapi.CodeBadRequest, "the row is not valid JSON")
		return
	}
	etag, inserted := p.data.put(r.PathValue("table"), r.PathValue("key"), body, preconditionOf(r.Header))
	if etag == "" {
		conflict(w, http.StatusPreconditionFailed)
		return
	}
	p.counters.applied.Add(1)
	w.Header().Set("ETag", etag)
	if inserted {
		w.WriteHeader(http.StatusCreated)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) deleteRow(w http.ResponseWriter, r *http.Request) {
	matched, existed := p.data.remove(r.PathValue("table"), r.PathValue("key"), preconditionOf(r.Header))
	switch {
	case !matched:
		conflict(w, http.StatusPreconditionFailed)
	case !existed:
		notFound(w)
	default:
		p.counters.applied.Add(1)
		w.WriteHeader(http.StatusNoContent)
	}
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	body, ok := p.data.object(r.PathValue("key"))
	if !ok {
		notFound(w)
		return
	}
	w.Header().Set("ETag", objectETag(body))
	w.Header().Set("Content-Type", "application/octet-stream")
	writeCompressed(w, r, body)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	body, err := standin.ReadBody(w, r)
	if err != nil {
		writeError(w, http.StatusBadRequest, platformapi.CodeBadRequest, err.Error())
		return
	}
	if !p.data.putObject(r.PathValue("key"), body) {
		conflict(w, http.StatusConflict)
		return
	}
	p.counters.applied.Add(1)
	w.Header().Set("ETag", objectETag(body))
	w.WriteHeader(http.StatusNoContent)
}

// getWeights answers with bytes of value zero, because no client reads the
// content.
func (p *Platform) getWeights(w http.ResponseWriter, _ *http.Request) {
	p.counters.weights.Add(1)
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(make([]byte, p.weightBytes)) // the client notices a truncated response
}

func (p *Platform) listInstances(w http.ResponseWriter, r *http.Request) {
	at := time.Now().Add(-p.faults.Get().listLag())
	body, err := json.Marshal(platformapi.EntryList{Entries: p.directory.asOf(at)})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	writeCompressed(w, r, body)
}

func (p *Platform) putInstance(w http.ResponseWriter, r *http.Request) {
	var entry platformapi.Entry
	if err := standin.ReadJSON(w, r, &entry); err != nil {
		writeError(w, http.StatusBadRequest, platformapi.CodeBadRequest, err.Error())
		return
	}
	if id := r.PathValue("id"); entry.ID != id {
		writeError(w, http.StatusBadRequest, platformapi.CodeBadRequest, "the entry's ID is not the one of the path")
		return
	}
	p.directory.record(entry.ID, change{at: time.Now(), entry: entry})
	p.counters.applied.Add(1)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) deleteInstance(w http.ResponseWriter, r *http.Request) {
	p.directory.record(r.PathValue("id"), change{at: time.Now(), removed: true})
	p.counters.applied.Add(1)
	w.WriteHeader(http.StatusNoContent)
}

func notFound(w http.ResponseWriter) {
	writeError(w, http.StatusNotFound, platformapi.CodeNotFound, "it does not exist")
}

func conflict(w http.ResponseWriter, status int) {
	writeError(w, status, platformapi.CodeConflict, "it has another content; the request had no effect")
}
