package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"sort"
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
	Ver     uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

// store is a stand-in of the platform's store: rows, transactions and the feed.
type store struct {
	mu      sync.Mutex
	rows    map[[3]string]row
	history []row
	ver     uint64
	changed chan struct{}
	started time.Time
	address string
}

func newStore(ip string) *store {
	s := &store{rows: map[[3]string]row{}, changed: make(chan struct{}), started: time.Now(), ver: 1}
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		fail("the store cannot listen: %v", err)
	}
	s.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	mux.HandleFunc("POST /-/rows-tx", s.transact)
	go func() { _ = http.Serve(listener, mux) }()
	return s
}

// put writes a row.
func (s *store) put(table, key string, value any) {
	data, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.apply(row{Table: table, Key: key, Value: data, Ver: s.ver})
	s.notify()
}

// remove removes a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.apply(row{Table: table, Key: key, Ver: s.ver, Removed: true})
	s.notify()
}

func (s *store) apply(r row) {
	key := [3]string{r.Table, r.Part, r.Key}
	if r.Removed {
		delete(s.rows, key)
	} else {
		s.rows[key] = r
	}
	s.history = append(s.history, r)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, _ := strconv.Atoi(query.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	found := []row{}
	for _, o := range s.rows {
		if o.Table == query.Get("table") && o.Part == query.Get("part") && o.Key >= query.Get("from") && (query.Get("to") == "" || o.Key < query.Get("to")) {
			found = append(found, o)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	isTruncated := len(found) > limit
	if isTruncated {
		found = found[:limit]
	}
	s.answer(w, http.StatusOK, map[string]any{"rows": found, "truncated": isTruncated, "ver": ver})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		// Each changed row comes once, as it is now, in the order of the last changes.
		found, isKnown := []row{}, map[[2]string]bool{}
		for i := len(s.history) - 1; i >= 0 && s.history[i].Ver > after; i-- {
			o := s.history[i]
			if key := [2]string{o.Part, o.Key}; o.Table == query.Get("table") && !isKnown[key] {
				isKnown[key] = true
				found = append(found, o)
			}
		}
		slices.Reverse(found)
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		if len(found) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-end:
			}
		}
		s.answer(w, http.StatusOK, map[string]any{"rows": found, "ver": ver})
		return
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []row `json:"expected"`
		Writes   []row `json:"writes"`
		Remove   []row `json:"remove"`
	}
	data, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(data, &tx) != nil {
		s.answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range tx.Expected {
		if s.rows[[3]string{o.Table, o.Part, o.Key}].Ver != o.Ver {
			s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": []row{}, "ver": s.ver})
			return
		}
	}
	s.ver++
	for _, o := range tx.Writes {
		o.Ver = s.ver
		s.apply(o)
	}
	for _, o := range tx.Remove {
		o.Ver, o.Removed, o.Value = s.ver, true, nil
		s.apply(o)
	}
	s.notify()
	s.answer(w, http.StatusOK, map[string]any{"ver": s.ver})
}

func (s *store) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["now_ms"] = time.Since(s.started).Milliseconds()
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
