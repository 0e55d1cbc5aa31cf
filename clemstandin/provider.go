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

// ProviderRow is a row of the Provider's store.
type ProviderRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

// Provider is an http.Handler that stands in for the store of a platform that
// runs fronts without sidecars. It has rows in tables, transactions and change
// feeds.
type Provider struct {
	mu               sync.Mutex
	rows             []ProviderRow
	version          uint64
	era              uint64
	compactedVersion uint64
	changed          chan struct{}
	failureStatus    int
	// staleRows are the rows that reads return while they are stale, staleVersion
	// their version.
	staleRows    []ProviderRow
	staleVersion uint64
}

// NewProvider returns an empty store.
func NewProvider() *Provider { return &Provider{changed: make(chan struct{})} }

// Put writes a row with the JSON encoding of the value, as the operator or a
// backend server does.
func (p *Provider) Put(table, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	p.PutRow(ProviderRow{Table: table, Key: key, Value: data})
	return nil
}

// PutRow writes or removes a row as it is, as any other writer may.
func (p *Provider) PutRow(row ProviderRow) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.put(row)
}

// Delete removes a row.
func (p *Provider) Delete(table, key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.put(ProviderRow{Table: table, Key: key, Removed: true})
}

// SetFailureStatus makes every call of fronts fail with the HTTP status; 0 ends
// it.
func (p *Provider) SetFailureStatus(status int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failureStatus = status
	p.notifyFeeds()
}

// Compact drops the removed rows. Feeds from before the current version then
// fail with status 410.
func (p *Provider) Compact() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.compactedVersion = p.version
	p.rows = slices.DeleteFunc(p.rows, func(r ProviderRow) bool { return r.Removed })
	p.notifyFeeds()
}

// SetStale makes reads return the current rows until it is switched off. Writes
// and feeds are not affected.
func (p *Provider) SetStale(isStale bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.staleRows, p.staleVersion = nil, 0
	if isStale {
		p.staleRows, p.staleVersion = append([]ProviderRow{}, p.rows...), p.version
	}
	p.notifyFeeds()
}

// visibleRows returns the rows that reads return and their version.
func (p *Provider) visibleRows() ([]ProviderRow, uint64) {
	if p.staleRows != nil {
		return p.staleRows, p.staleVersion
	}
	return p.rows, p.version
}

func (p *Provider) put(row ProviderRow) {
	p.version++
	row.Version = p.version
	p.rows = append(slices.DeleteFunc(p.rows, func(r ProviderRow) bool { return isSameRow(r, row) }), row)
	p.notifyFeeds()
}

func (p *Provider) notifyFeeds() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// providerResponse is the body of every response.
type providerResponse struct {
	Rows      []ProviderRow `json:"rows"`
	Truncated bool          `json:"truncated"`
	Version   uint64        `json:"ver"`
	// era is that of the store at the same time.
	era uint64
}

// ServeHTTP implements http.Handler.
func (p *Provider) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	status, response := p.respond(r)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatUint(response.era, 10))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(response)
}

func (p *Provider) respond(r *http.Request) (int, providerResponse) {
	switch r.Method {
	case http.MethodPut, http.MethodDelete:
		return p.serveOperator(r)
	}
	switch r.URL.Path {
	case "/-/rows-get":
		return p.getRows(r)
	case "/-/rows-feed":
		return p.feedRows(r)
	case "/-/rows-tx":
		return p.transact(r)
	}
	return http.StatusNotFound, providerResponse{}
}

// serveOperator writes or removes the row of the path /TABLE/KEY. The operator
// and backend servers use it; fronts use the paths below /-/.
func (p *Provider) serveOperator(r *http.Request) (int, providerResponse) {
	table, key, ok := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if !ok {
		return http.StatusNotFound, providerResponse{}
	}
	if r.Method == http.MethodDelete {
		p.Delete(table, key)
		return http.StatusOK, providerResponse{}
	}
	var value json.RawMessage
	if err := json.NewDecoder(r.Body).Decode(&value); err != nil {
		return http.StatusBadRequest, providerResponse{}
	}
	if err := p.Put(table, key, value); err != nil {
		return http.StatusBadRequest, providerResponse{}
	}
	return http.StatusOK, providerResponse{}
}

func (p *Provider) getRows(r *http.Request) (int, providerResponse) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failureStatus != 0 {
		return p.failureStatus, providerResponse{era: p.era}
	}
	query := r.URL.Query()
	rows, version := p.visibleRows()
	response := providerResponse{Rows: []ProviderRow{}, Version: version, era: p.era}
	for _, row := range rows {
		if row.Table == query.Get("table") && row.Part == query.Get("part") && !row.Removed && row.Key >= query.Get("from") {
			response.Rows = append(response.Rows, row)
		}
	}
	slices.SortFunc(response.Rows, func(a, b ProviderRow) int { return strings.Compare(a.Key, b.Key) })
	if limit, err := strconv.Atoi(query.Get("limit")); err == nil && limit > 0 && len(response.Rows) > limit {
		response.Rows, response.Truncated = response.Rows[:limit], true
	}
	return http.StatusOK, response
}

func (p *Provider) feedRows(r *http.Request) (int, providerResponse) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		return http.StatusBadRequest, providerResponse{}
	}
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	expired := time.After(time.Duration(wait) * time.Millisecond)
	for {
		status, response, changed := p.changesAfter(query.Get("table"), after)
		if status != http.StatusOK || len(response.Rows) > 0 || wait == 0 {
			return status, response
		}
		select {
		case <-changed:
		case <-expired:
			return status, response
		case <-r.Context().Done():
			return status, response
		}
	}
}

func (p *Provider) changesAfter(table string, after uint64) (int, providerResponse, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	response := providerResponse{Rows: []ProviderRow{}, Version: p.version, era: p.era}
	if p.failureStatus != 0 {
		return p.failureStatus, response, p.changed
	}
	if after < p.compactedVersion || after > p.version {
		return http.StatusGone, response, p.changed
	}
	for _, row := range p.rows {
		if row.Table == table && row.Version > after {
			response.Rows = append(response.Rows, row)
		}
	}
	return http.StatusOK, response, p.changed
}

func (p *Provider) transact(r *http.Request) (int, providerResponse) {
	var body struct {
		Expected, Writes, Remove []ProviderRow
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return http.StatusBadRequest, providerResponse{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failureStatus != 0 {
		return p.failureStatus, providerResponse{era: p.era}
	}
	for _, want := range body.Expected {
		if p.rowVersion(want) != want.Version {
			return http.StatusPreconditionFailed, providerResponse{Version: p.version, era: p.era}
		}
	}
	for _, row := range body.Writes {
		if row.Table == "op" || row.Table == "servers" {
			return http.StatusForbidden, providerResponse{Version: p.version, era: p.era}
		}
		p.put(row)
	}
	for _, row := range body.Remove {
		row.Removed = true
		p.put(row)
	}
	return http.StatusOK, providerResponse{Version: p.version, era: p.era}
}

// rowVersion returns the version of a row, or 0 if there is none.
func (p *Provider) rowVersion(want ProviderRow) uint64 {
	for _, row := range p.rows {
		if row.Table == want.Table && row.Part == want.Part && row.Key == want.Key && !row.Removed {
			return row.Version
		}
	}
	return 0
}

// NewEchoServer returns a backend server without a sidecar that echoes
// requests: the response to a request addressed to its id names the method, the
// URI and the organisation, and carries a stamp. Other requests are refused as
// misdirected.
func NewEchoServer(id string) http.Handler {
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
