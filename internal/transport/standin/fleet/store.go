// Package fleet holds stand-ins for parts of the users' platform: its store, model
// workers and application workers. They implement the platform's published APIs,
// run in one process and have faults that a test or an operator can switch.
package fleet

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is a fault of the store.
type Fault string

// Values of Fault.
const (
	FaultNone        Fault = ""
	FaultUnavailable Fault = "busy" // all calls get 503 and have no effect
	FaultLoseAnswers Fault = "lost" // writes are applied, then their connections are cut
)

// Row is a row of the store.
type Row struct {
	Table   string `json:"tableName"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Data    []byte `json:"data,omitempty"`
	Version uint64 `json:"rowVersion"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

func (r Row) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// Store is a stand-in for the platform's store. mu guards all fields below it.
type Store struct {
	mux       *http.ServeMux
	startedAt time.Time

	mu               sync.Mutex
	rows             map[rowKey]Row
	history          []Row // all changes since the last Compact, in order
	compactedVersion uint64
	version          uint64
	era              uint64        // 0: answers have no era
	changed          chan struct{} // closed and replaced at each change
	fault            Fault
	calls            int
}

// NewStore returns an empty store.
func NewStore() *Store {
	s := &Store{mux: http.NewServeMux(), startedAt: time.Now(), rows: map[rowKey]Row{}, changed: make(chan struct{})}
	s.mux.HandleFunc("POST /v1/rows-tx", s.transact)
	s.mux.HandleFunc("GET /v1/rows-get", s.get)
	s.mux.HandleFunc("GET /v1/rows-feed", s.feed)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	fault := s.fault
	s.mu.Unlock()
	if fault == FaultUnavailable {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mux.ServeHTTP(w, r)
}

// SetFault replaces the fault.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns the number of HTTP calls since the start.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Copy is the content of a store at one time.
type Copy struct {
	rows             map[rowKey]Row
	history          []Row
	compactedVersion uint64
	version          uint64
}

// SetEra sets the era in the answers.
func (s *Store) SetEra(era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
}

// Era returns the era.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Copy returns a copy of the content.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{maps.Clone(s.rows), slices.Clone(s.history), s.compactedVersion, s.version}
}

// Restore replaces the content by that of an earlier copy and raises the era. All later
// writes are lost and their versions are given out again. Reads that wait are answered.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.history = maps.Clone(c.rows), slices.Clone(c.history)
	s.compactedVersion, s.version = c.compactedVersion, c.version
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// Version returns the version of the last write.
func (s *Store) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// Compact drops the history, so that a feed from an earlier version gets 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedVersion = nil, s.version
}

// Put writes a row directly, as operators and upstreams do on the platform.
func (s *Store) Put(table, key string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]Row{{Table: table, Key: key, Data: data}})
}

// Remove deletes a row.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]Row{{Table: table, Key: key, Deleted: true}})
}

// Get returns the data of a row, nil if there is none.
func (s *Store) Get(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowKey{table: table, key: key}].Data
}

// Keys returns the keys of a table in order.
func (s *Store) Keys(table string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for id := range s.rows {
		if id.table == table {
			keys = append(keys, id.key)
		}
	}
	slices.Sort(keys)
	return keys
}

// apply makes all changes under one new version. The caller holds mu.
func (s *Store) apply(rows []Row) {
	s.version++
	for _, r := range rows {
		r.Version = s.version
		if r.Deleted {
			delete(s.rows, r.id())
		} else {
			s.rows[r.id()] = r
		}
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// transaction is the body of a write.
type transaction struct {
	Expected []Row `json:"expectedRevision"`
	Write    []Row `json:"write"`
	Remove   []Row `json:"remove"`
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if rows, ok := s.matchesVersions(t.Expected); !ok {
		s.answer(w, http.StatusPreconditionFailed, rows)
		return
	}
	for i := range t.Remove {
		t.Remove[i].Deleted = true
	}
	s.apply(append(t.Write, t.Remove...))
	if s.fault == FaultLoseAnswers {
		panic(http.ErrAbortHandler)
	}
	s.answer(w, http.StatusOK, nil)
}

// matchesVersions reports whether the rows have the expected versions, and
// returns the rows that exist. The caller holds mu.
func (s *Store) matchesVersions(expected []Row) (rows []Row, ok bool) {
	ok = true
	for _, e := range expected {
		row, found := s.rows[e.id()]
		if found {
			rows = append(rows, row)
		}
		ok = ok && row.Version == e.Version
	}
	return rows, ok
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []Row
	for id, row := range s.rows {
		if id.table == query.Get("tableName") && id.part == query.Get("part") && id.key >= query.Get("startKey") {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	s.answer(w, http.StatusOK, rows)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	version, _ := strconv.ParseUint(query.Get("sinceRevision"), 10, 64)
	waitMs, _ := strconv.Atoi(query.Get("waitMs"))
	due := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer due.Stop()
	for {
		rows, changed, gone := s.changesSince(query.Get("tableName"), version)
		if gone {
			s.signEra(w)
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(rows) > 0 || waitMs == 0 {
			s.reply(w, rows)
			return
		}
		select {
		case <-changed:
		case <-due.C:
			s.reply(w, nil)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changesSince returns the changes of a table after the version, and a channel
// that is closed at the next change of any table. gone reports that the history does not
// have the version, either any more or, after a restore, yet.
func (s *Store) changesSince(table string, version uint64) (rows []Row, changed <-chan struct{}, gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version < s.compactedVersion || version > s.version {
		return nil, nil, true
	}
	for _, r := range s.history {
		if r.Table == table && r.Version > version {
			rows = append(rows, r)
		}
	}
	return rows, s.changed, false
}

func (s *Store) reply(w http.ResponseWriter, rows []Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer(w, http.StatusOK, rows)
}

// signEra sets the era in a response.
func (s *Store) signEra(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w)
}

// setEra is signEra for callers that hold mu.
func (s *Store) setEra(w http.ResponseWriter) {
	if s.era > 0 {
		w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	}
}

// answer writes a response with the rows. The caller holds mu.
func (s *Store) answer(w http.ResponseWriter, status int, rows []Row) {
	if rows == nil {
		rows = []Row{}
	}
	body := struct {
		Rows    []Row  `json:"rows"`
		More    bool   `json:"hasMore"`
		Version uint64 `json:"rowVersion"`
		NowMs   int64  `json:"nowMs"`
	}{rows, false, s.version, time.Since(s.startedAt).Milliseconds()}
	w.Header().Set("Content-Type", "application/json")
	s.setEra(w)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the client notices a truncated response
}
