package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store in the form "table". It loses
// nothing, answers at once and keeps its whole history.
type store struct {
	mu      sync.Mutex
	version uint64
	rows    map[string]*row // by table and key; the part is always empty
	history []row           // each change, in order
	changed chan struct{}   // closed at the next change
	started time.Time
	renewed map[string]time.Time // last heartbeat of each worker entry
}

type row struct {
	Table   string `json:"tableName"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Data    []byte `json:"data,omitempty"`
	Version uint64 `json:"rowVersion"`
	Deleted bool   `json:"deleted,omitempty"`
}

type answer struct {
	Rows    []row   `json:"rows"`
	More    bool    `json:"hasMore"`
	NowMs   float64 `json:"nowMs"`
	Version uint64  `json:"rowVersion"`
}

const heartbeat = 1200 * time.Millisecond

func newStore() *store {
	s := &store{rows: map[string]*row{}, changed: make(chan struct{}), started: time.Now(), renewed: map[string]time.Time{}}
	go func() { // entries lapse after three heartbeats of silence
		for range time.Tick(100 * time.Millisecond) {
			s.mu.Lock()
			for id, at := range s.renewed {
				if time.Since(at) > 3*heartbeat {
					delete(s.renewed, id)
					s.apply(nil, []row{{Table: "servers", Key: id}})
				}
			}
			s.mu.Unlock()
		}
	}()
	return s
}

func id(table, key string) string { return table + "\x00" + key }

// apply makes one transaction. The caller holds mu.
func (s *store) apply(write, remove []row) uint64 {
	s.version++
	for _, r := range write {
		r.Version, r.Deleted = s.version, false
		s.rows[id(r.Table, r.Key)] = &r
		s.history = append(s.history, r)
	}
	for _, r := range remove {
		if s.rows[id(r.Table, r.Key)] == nil {
			continue
		}
		delete(s.rows, id(r.Table, r.Key))
		s.history = append(s.history, row{Table: r.Table, Key: r.Key, Version: s.version, Deleted: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version
}

// put writes a row as the operator or a worker does; the return is the confirmation.
func (s *store) put(table, key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Data: data}}, nil)
	return time.Now()
}

// get returns a row's data, nil if there is none.
func (s *store) get(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.rows[id(table, key)]; r != nil {
		return r.Data
	}
	return nil
}

func (s *store) answer(w http.ResponseWriter, status int, rows []row) {
	if rows == nil {
		rows = []row{}
	}
	s.mu.Lock()
	a := answer{Rows: rows, NowMs: float64(time.Since(s.started).Microseconds()) / 1000, Version: s.version}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	switch q := r.URL.Query(); r.URL.Path {
	case "/v1/rows-get":
		s.mu.Lock()
		var rows []row
		for _, x := range s.rows {
			if x.Table == q.Get("tableName") && x.Key >= q.Get("startKey") && (q.Get("to") == "" || x.Key < q.Get("to")) {
				rows = append(rows, *x)
			}
		}
		s.mu.Unlock()
		sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
		s.answer(w, 200, rows)
	case "/v1/rows-feed":
		since, _ := strconv.ParseUint(q.Get("sinceRevision"), 10, 64)
		waitMs, _ := strconv.Atoi(q.Get("waitMs"))
		s.feed(w, r, q.Get("tableName"), since, time.Duration(waitMs)*time.Millisecond)
	case "/v1/rows-tx":
		s.transact(w, r)
	case "/standin/entry": // a worker's heartbeat; the system does not call it
		var e map[string]any
		if json.NewDecoder(r.Body).Decode(&e) != nil {
			w.WriteHeader(400)
			return
		}
		key := r.URL.Query().Get("id")
		data, _ := json.Marshal(e)
		s.mu.Lock()
		s.renewed[key] = time.Now()
		s.apply([]row{{Table: "servers", Key: key, Data: data}}, nil)
		s.mu.Unlock()
	default:
		w.WriteHeader(404)
	}
}

func (s *store) feed(w http.ResponseWriter, r *http.Request, table string, since uint64, wait time.Duration) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		var rows []row
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Version > since })
		for _, x := range s.history[first:] {
			if x.Table == table {
				rows = append(rows, x)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			s.answer(w, 200, rows)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.answer(w, 200, nil)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []row `json:"expectedRevision"`
		Write    []row `json:"write"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(400)
		return
	}
	for _, x := range append(append([]row{}, t.Write...), t.Remove...) {
		if x.Table == "op" || x.Table == "servers" {
			w.WriteHeader(403)
			return
		}
	}
	s.mu.Lock()
	var current []row
	failed := false
	for _, x := range t.Expected {
		have := s.rows[id(x.Table, x.Key)]
		switch {
		case have == nil && x.Version != 0, have != nil && have.Version != x.Version:
			failed = true
		}
		if have != nil {
			current = append(current, *have)
		}
	}
	if !failed {
		s.apply(t.Write, t.Remove)
		current = nil
	}
	s.mu.Unlock()
	if failed {
		s.answer(w, 412, current)
		return
	}
	s.answer(w, 200, nil)
}

// instances returns the names of the instances that announced themselves.
func (s *store) instances() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for _, r := range s.rows {
		if r.Table == "instances" {
			names = append(names, r.Key)
		}
	}
	sort.Strings(names)
	return fmt.Sprint(len(names), " ", strings.Join(names, ","))
}
