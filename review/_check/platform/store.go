package main

import (
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

type rowKey struct{ table, part, key string }

func (r row) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// store is a stand-in of the platform's store: rows, transactions and feeds, as
// PROTOCOL.md describes them. It keeps its whole history.
type store struct {
	start time.Time

	mu      sync.Mutex
	rows    map[rowKey]row
	version uint64
	changed chan struct{}
}

func newStore() *store {
	return &store{start: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{})}
}

// Put writes a row, as the operator or a backend server does.
func (s *store) Put(table, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: data}})
	return nil
}

// Remove removes a row.
func (s *store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Removed: true}})
}

// apply applies one transaction. The caller holds mu.
func (s *store) apply(changes []row) {
	s.version++
	for _, r := range changes {
		r.Version = s.version
		s.rows[r.id()] = r
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

type storeAnswer struct {
	Rows      []row  `json:"rows"`
	Truncated bool   `json:"truncated"`
	Version   uint64 `json:"ver"`
	Now       int64  `json:"now_ms"`
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	status, answer := http.StatusNotFound, storeAnswer{}
	switch r.URL.Path {
	case "/-/rows-get":
		status, answer = s.get(r)
	case "/-/rows-feed":
		status, answer = s.feed(r)
	case "/-/rows-tx":
		status, answer = s.transact(r.Body)
	}
	answer.Now = time.Since(s.start).Milliseconds()
	if answer.Rows == nil {
		answer.Rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *store) get(r *http.Request) (int, storeAnswer) {
	const maxRows = 500
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxRows {
		limit = maxRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := storeAnswer{Version: s.version}
	for _, r := range s.rows {
		if r.Table == q.Get("table") && r.Part == q.Get("part") && !r.Removed && r.Key >= q.Get("from") && (q.Get("to") == "" || r.Key < q.Get("to")) {
			answer.Rows = append(answer.Rows, r)
		}
	}
	slices.SortFunc(answer.Rows, func(a, b row) int { return cmp.Compare(a.Key, b.Key) })
	if len(answer.Rows) > limit {
		answer.Rows, answer.Truncated = answer.Rows[:limit], true
	}
	return http.StatusOK, answer
}

func (s *store) feed(r *http.Request) (int, storeAnswer) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		return http.StatusBadRequest, storeAnswer{}
	}
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	expired := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		answer, changed := storeAnswer{Version: s.version}, s.changed
		for _, r := range s.rows {
			if r.Table == q.Get("table") && r.Version > after {
				answer.Rows = append(answer.Rows, r)
			}
		}
		s.mu.Unlock()
		slices.SortFunc(answer.Rows, func(a, b row) int { return cmp.Compare(a.Version, b.Version) })
		if len(answer.Rows) > 0 || wait <= 0 {
			return http.StatusOK, answer
		}
		select {
		case <-changed:
		case <-expired:
			return http.StatusOK, answer
		case <-r.Context().Done():
			return http.StatusOK, answer
		}
	}
}

func (s *store) transact(body io.Reader) (int, storeAnswer) {
	var tx struct {
		Expected, Writes, Remove []row
	}
	if err := json.NewDecoder(body).Decode(&tx); err != nil {
		return http.StatusBadRequest, storeAnswer{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, want := range tx.Expected {
		version := uint64(0)
		if known, ok := s.rows[want.id()]; ok && !known.Removed {
			version = known.Version
		}
		if version != want.Version {
			return http.StatusPreconditionFailed, storeAnswer{Version: s.version}
		}
	}
	var changes []row
	for _, r := range tx.Writes {
		if r.Table == "op" || r.Table == "servers" {
			return http.StatusForbidden, storeAnswer{Version: s.version}
		}
		changes = append(changes, r)
	}
	for _, r := range tx.Remove {
		r.Removed = true
		changes = append(changes, r)
	}
	s.apply(changes)
	return http.StatusOK, storeAnswer{Version: s.version}
}
