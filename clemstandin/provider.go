package clemstandin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ProviderRow is one row of the provider's store.
type ProviderRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

// Provider stands in for the store of the platform that entries without
// sidecars run on: rows in tables, transactions, and feeds of changes. It is
// an http.Handler.
type Provider struct {
	mu      sync.Mutex
	rows    []ProviderRow
	ver     uint64
	floor   uint64
	changed chan struct{}
	status  int
	// old are the rows that reads show while they are stale, oldVer their version.
	old    []ProviderRow
	oldVer uint64
}

// NewProvider returns an empty store.
func NewProvider() *Provider { return &Provider{changed: make(chan struct{})} }

// Put writes a row as the operator or a backend server does.
func (p *Provider) Put(table, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.put(ProviderRow{Table: table, Key: key, Value: data})
	return nil
}

// Drop removes a row.
func (p *Provider) Drop(table, key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.put(ProviderRow{Table: table, Key: key, Removed: true})
}

// Fail makes every call fail with the status; 0 ends it.
func (p *Provider) Fail(status int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.status = status
	p.wake()
}

// Compact forgets the history up to now.
func (p *Provider) Compact() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.floor = p.ver
	p.rows = slices.DeleteFunc(p.rows, func(r ProviderRow) bool { return r.Removed })
	p.wake()
}

// Stale makes whole reads show the rows of this moment until it is ended;
// writes and feeds go on.
func (p *Provider) Stale(isStale bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.old, p.oldVer = nil, 0
	if isStale {
		p.old, p.oldVer = append([]ProviderRow{}, p.rows...), p.ver
	}
	p.wake()
}

// shown returns the rows that reads show and their version.
func (p *Provider) shown() ([]ProviderRow, uint64) {
	if p.old != nil {
		return p.old, p.oldVer
	}
	return p.rows, p.ver
}

func (p *Provider) put(row ProviderRow) {
	p.ver++
	row.Ver = p.ver
	p.rows = append(slices.DeleteFunc(p.rows, func(r ProviderRow) bool {
		return r.Table == row.Table && r.Part == row.Part && r.Key == row.Key
	}), row)
	p.wake()
}

func (p *Provider) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// providerAnswer is the body of every answer.
type providerAnswer struct {
	Rows      []ProviderRow `json:"rows"`
	Truncated bool          `json:"truncated"`
	Ver       uint64        `json:"ver"`
}

// ServeHTTP implements http.Handler.
func (p *Provider) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	status, answer := p.answer(r)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

func (p *Provider) answer(r *http.Request) (int, providerAnswer) {
	switch r.Method {
	case http.MethodPut, http.MethodDelete:
		return p.operate(r)
	}
	switch r.URL.Path {
	case "/-/rows-get":
		return p.get(r)
	case "/-/rows-feed":
		return p.feed(r)
	case "/-/rows-tx":
		return p.transact(r)
	}
	return http.StatusNotFound, providerAnswer{}
}

// operate writes or drops the row of the path /TABLE/KEY, as the operator and
// backend servers do; fronts may not.
func (p *Provider) operate(r *http.Request) (int, providerAnswer) {
	table, key, ok := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if !ok {
		return http.StatusNotFound, providerAnswer{}
	}
	if r.Method == http.MethodDelete {
		p.Drop(table, key)
		return http.StatusOK, providerAnswer{}
	}
	var value json.RawMessage
	if err := json.NewDecoder(r.Body).Decode(&value); err != nil {
		return http.StatusBadRequest, providerAnswer{}
	}
	if err := p.Put(table, key, value); err != nil {
		return http.StatusBadRequest, providerAnswer{}
	}
	return http.StatusOK, providerAnswer{}
}

func (p *Provider) get(r *http.Request) (int, providerAnswer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.status != 0 {
		return p.status, providerAnswer{}
	}
	query := r.URL.Query()
	rows, ver := p.shown()
	answer := providerAnswer{Rows: []ProviderRow{}, Ver: ver}
	for _, row := range rows {
		if row.Table == query.Get("table") && row.Part == query.Get("part") && !row.Removed && row.Key >= query.Get("from") {
			answer.Rows = append(answer.Rows, row)
		}
	}
	slices.SortFunc(answer.Rows, func(a, b ProviderRow) int { return strings.Compare(a.Key, b.Key) })
	if limit, err := strconv.Atoi(query.Get("limit")); err == nil && limit > 0 && len(answer.Rows) > limit {
		answer.Rows, answer.Truncated = answer.Rows[:limit], true
	}
	return http.StatusOK, answer
}

func (p *Provider) feed(r *http.Request) (int, providerAnswer) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		return http.StatusBadRequest, providerAnswer{}
	}
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	expired := time.After(time.Duration(wait) * time.Millisecond)
	for {
		status, answer, changed := p.since(query.Get("table"), after)
		if status != http.StatusOK || len(answer.Rows) > 0 || wait == 0 {
			return status, answer
		}
		select {
		case <-changed:
		case <-expired:
			return status, answer
		case <-r.Context().Done():
			return status, answer
		}
	}
}

func (p *Provider) since(table string, after uint64) (int, providerAnswer, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	answer := providerAnswer{Rows: []ProviderRow{}, Ver: p.ver}
	if p.status != 0 {
		return p.status, answer, p.changed
	}
	if after < p.floor {
		return http.StatusGone, answer, p.changed
	}
	for _, row := range p.rows {
		if row.Table == table && row.Ver > after {
			answer.Rows = append(answer.Rows, row)
		}
	}
	return http.StatusOK, answer, p.changed
}

func (p *Provider) transact(r *http.Request) (int, providerAnswer) {
	var body struct {
		Expected, Writes, Remove []ProviderRow
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return http.StatusBadRequest, providerAnswer{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.status != 0 {
		return p.status, providerAnswer{}
	}
	for _, want := range body.Expected {
		if p.version(want) != want.Ver {
			return http.StatusPreconditionFailed, providerAnswer{Ver: p.ver}
		}
	}
	for _, row := range body.Writes {
		if row.Table == "op" || row.Table == "servers" {
			return http.StatusForbidden, providerAnswer{Ver: p.ver}
		}
		p.put(row)
	}
	for _, row := range body.Remove {
		row.Removed = true
		p.put(row)
	}
	return http.StatusOK, providerAnswer{Ver: p.ver}
}

// version returns the version of a row, or 0 if there is none.
func (p *Provider) version(want ProviderRow) uint64 {
	for _, row := range p.rows {
		if row.Table == want.Table && row.Part == want.Part && row.Key == want.Key && !row.Removed {
			return row.Ver
		}
	}
	return 0
}

// NewServer returns a backend server without a sidecar: it answers requests
// that are meant for its id with what it got, signed, and refuses all others.
func NewServer(id string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Expected-Instance") != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Response-Stamp", "stamp-of-"+id)
		_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.RequestURI, r.Header.Get("X-Tenant"))
	})
}
