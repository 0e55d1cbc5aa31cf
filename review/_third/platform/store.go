package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// rowKey names a row of the store.
type rowKey struct{ table, part, key string }

// storedRow is a row, or the mark of a removed one.
type storedRow struct {
	value   []byte
	ver     uint64
	removed bool
}

// jsonRow is the form of a row on the wire.
type jsonRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

// storeCopy is the state of the store at one moment.
type storeCopy struct {
	rows map[rowKey]storedRow
	ver  uint64
}

// store is a stand-in of the platform's metadata store. Removed rows stay as marks, so
// that its history is complete.
type store struct {
	listener net.Listener
	start    time.Time

	mu      sync.Mutex
	rows    map[rowKey]storedRow
	ver     uint64
	era     uint64
	isDown  bool
	changed chan struct{}
	calls   map[string]int
}

func newStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: listener, start: time.Now(), rows: map[rowKey]storedRow{}, ver: 1, era: 1, changed: make(chan struct{}), calls: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	mux.HandleFunc("POST /-/rows-tx", s.transact)
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// wake ends the waits of feeds. The caller holds mu.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row and returns its version, or 0 while the store is away.
func (s *store) put(table, key string, value any) uint64 {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown {
		return 0
	}
	s.ver++
	s.rows[rowKey{table, "", key}] = storedRow{value: text, ver: s.ver}
	s.wake()
	return s.ver
}

// remove removes a row and returns the version, or 0 while the store is away.
func (s *store) remove(table, key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown {
		return 0
	}
	s.ver++
	s.rows[rowKey{table, "", key}] = storedRow{ver: s.ver, removed: true}
	s.wake()
	return s.ver
}

func (s *store) version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ver
}

// takeCalls returns the numbers of calls since the last time.
func (s *store) takeCalls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := s.calls
	s.calls = map[string]int{}
	return calls
}

func (s *store) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := make(map[rowKey]storedRow, len(s.rows))
	for key, row := range s.rows {
		rows[key] = row
	}
	return storeCopy{rows, s.ver}
}

// leave makes the store unavailable: it closes the connections of all calls.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = true
	s.wake()
}

// comeBack makes the store available again, from the copy unless that is nil.
func (s *store) comeBack(from *storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = false
	if from != nil {
		s.rows, s.ver = from.rows, from.ver
		s.era++
	}
	s.wake()
}

// begin counts a call, and closes its connection while the store is away.
func (s *store) begin(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	s.calls[strings.TrimPrefix(r.URL.Path, "/-/")]++
	isDown := s.isDown
	s.mu.Unlock()
	if isDown {
		drop(w)
		return false
	}
	time.Sleep(4 * time.Millisecond)
	return true
}

// drop closes the connection of a call without an answer.
func drop(w http.ResponseWriter) {
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = conn.Close()
	}
}

func (s *store) answer(w http.ResponseWriter, status int, body map[string]any) {
	s.mu.Lock()
	isDown, era, ver := s.isDown, s.era, s.ver
	s.mu.Unlock()
	if isDown {
		drop(w)
		return
	}
	if body == nil {
		body = map[string]any{}
	}
	if body["ver"] == nil {
		body["ver"] = ver
	}
	body["now_ms"] = time.Since(s.start).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	if !s.begin(w, r) {
		return
	}
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	rows, ver := []jsonRow{}, s.ver
	for key, row := range s.rows {
		if row.removed || key.table != query.Get("table") || key.part != query.Get("part") || key.key < query.Get("from") || query.Get("to") != "" && key.key >= query.Get("to") {
			continue
		}
		rows = append(rows, jsonRow{Table: key.table, Part: key.part, Key: key.key, Value: row.value, Ver: row.ver})
	}
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b jsonRow) int { return strings.Compare(a.Key, b.Key) })
	isTruncated := len(rows) > limit
	s.answer(w, http.StatusOK, map[string]any{"rows": rows[:min(len(rows), limit)], "truncated": isTruncated, "ver": ver})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	if !s.begin(w, r) {
		return
	}
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if s.isDown {
			s.mu.Unlock()
			drop(w)
			return
		}
		if after > s.ver {
			s.mu.Unlock()
			s.answer(w, http.StatusGone, nil)
			return
		}
		rows, ver, changed := []jsonRow{}, s.ver, s.changed
		for key, row := range s.rows {
			if key.table == query.Get("table") && row.ver > after {
				rows = append(rows, jsonRow{Table: key.table, Part: key.part, Key: key.key, Value: row.value, Ver: row.ver, Removed: row.removed})
			}
		}
		s.mu.Unlock()
		if len(rows) > 0 || wait == 0 {
			slices.SortFunc(rows, func(a, b jsonRow) int { return int(int64(a.Ver) - int64(b.Ver)) })
			s.answer(w, http.StatusOK, map[string]any{"rows": rows, "ver": ver})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	if !s.begin(w, r) {
		return
	}
	var tx struct{ Expected, Writes, Remove []jsonRow }
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		s.answer(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	for _, row := range slices.Concat(tx.Writes, tx.Remove) {
		if row.Table == "op" || row.Table == "servers" {
			s.mu.Unlock()
			s.answer(w, http.StatusForbidden, nil)
			return
		}
	}
	for _, row := range tx.Expected {
		if old := s.rows[rowKey{row.Table, row.Part, row.Key}]; old.removed && row.Ver != 0 || !old.removed && old.ver != row.Ver {
			s.mu.Unlock()
			s.answer(w, http.StatusPreconditionFailed, nil)
			return
		}
	}
	s.ver++
	for _, row := range tx.Writes {
		s.rows[rowKey{row.Table, row.Part, row.Key}] = storedRow{value: row.Value, ver: s.ver}
	}
	for _, row := range tx.Remove {
		s.rows[rowKey{row.Table, row.Part, row.Key}] = storedRow{ver: s.ver, removed: true}
	}
	s.wake()
	s.mu.Unlock()
	s.answer(w, http.StatusOK, nil)
}
