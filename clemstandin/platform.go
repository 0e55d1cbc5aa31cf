package clemstandin

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"google.golang.org/protobuf/encoding/protojson"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemplatform"
	"github.com/clementineturn/clementineturn/clemwire"
)

const (
	maxRowBytes    = 1 << 20
	maxObjectBytes = 64 << 20
	maxHostBytes   = 64 << 10
)

// PlatformConfig describes a Platform to construct.
type PlatformConfig struct {
	// HostsFile is the path of a JSON file with the list of hosts, {"hosts":
	// [...]}. It is read again when it changes. Without one the list starts empty.
	HostsFile string
	// Faults are the initial faults.
	Faults PlatformFaults
}

// Platform is an http.Handler that stands in for the services of the platform:
// the table, the object store, the weight store and the list of hosts.
type Platform struct {
	http.Handler
	table     *Table
	objects   *ObjectStore
	weights   *ObjectStore
	hosts     *Hosts
	hostsFile string

	// mu guards the fields below. It is taken before the locks of the services.
	mu             sync.Mutex
	faults         PlatformFaults
	hostsFileState fileState
}

// fileState identifies a state of a file, to detect changes.
type fileState struct {
	modTime time.Time
	size    int64
}

// NewPlatform returns the platform that the configuration describes. It fails if
// the hosts file cannot be read or decoded.
func NewPlatform(c PlatformConfig) (*Platform, error) {
	p := &Platform{
		table: NewTable(), objects: NewObjectStore(), weights: NewObjectStore(),
		hosts: NewHosts(), hostsFile: c.HostsFile,
	}
	p.Inject(c.Faults)
	if err := p.reloadHosts(); err != nil {
		return nil, err
	}
	p.Handler = p.routes()
	return p, nil
}

// Table returns the table behind the platform's HTTP interface.
func (p *Platform) Table() *Table { return p.table }

// Objects returns the object store behind the platform's HTTP interface.
func (p *Platform) Objects() *ObjectStore { return p.objects }

// Weights returns the weight store behind the platform's HTTP interface.
func (p *Platform) Weights() *ObjectStore { return p.weights }

// Hosts returns the list of hosts behind the platform's HTTP interface.
func (p *Platform) Hosts() *Hosts { return p.hosts }

func (p *Platform) routes() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", health)
	r.Get("/table/*", p.getRow)
	r.Put("/table/*", p.putRow)
	r.Delete("/table/*", p.deleteRow)
	r.Get("/objects/*", getObject(p.objects))
	r.Put("/objects/*", putObject(p.objects))
	r.Get("/weights/*", getObject(p.weights))
	r.Put("/weights/*", putObject(p.weights))
	r.Get("/hosts", p.listHosts)
	r.Put("/hosts/{name}", p.putHost)
	r.Delete("/hosts/{name}", p.deleteHost)
	r.Post("/hosts/{name}/leave", p.drainHost)
	r.Get("/faults", p.getFaults)
	r.Put("/faults", p.putFaults)
	r.Get("/counts", p.getCounts)
	return r
}

// pathRemainder returns the unescaped part of the path that the route's wildcard
// matched.
func pathRemainder(r *http.Request) string {
	text := chi.URLParam(r, "*")
	if r.URL.RawPath == "" {
		return text
	}
	if unescaped, err := url.PathUnescape(text); err == nil {
		return unescaped
	}
	return text
}

func (p *Platform) getRow(w http.ResponseWriter, r *http.Request) {
	row, err := p.table.Get(r.Context(), pathRemainder(r))
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", formatEntityTag(row.Version()))
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(row.Value())
}

func (p *Platform) putRow(w http.ResponseWriter, r *http.Request) {
	version, err := precondition(r.Header)
	if err != nil {
		writeError(w, err)
		return
	}
	value, err := readBody(w, r, maxRowBytes)
	if err != nil {
		writeError(w, err)
		return
	}
	row, err := p.table.Put(r.Context(), pathRemainder(r), value, version)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", formatEntityTag(row.Version()))
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) deleteRow(w http.ResponseWriter, r *http.Request) {
	version, err := precondition(r.Header)
	if err == nil {
		err = p.table.Delete(r.Context(), pathRemainder(r), version)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func getObject(objects *ObjectStore) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		value, err := objects.Get(r.Context(), pathRemainder(r))
		if err != nil {
			writeError(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(value)
	}
}

func putObject(objects *ObjectStore) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		value, err := readBody(w, r, maxObjectBytes)
		if err == nil {
			err = objects.Put(r.Context(), pathRemainder(r), value)
		}
		if err != nil {
			writeError(w, err)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}
}

func (p *Platform) listHosts(w http.ResponseWriter, r *http.Request) {
	if err := p.reloadHosts(); err != nil {
		writeError(w, clementineturn.Errorf(clementineturn.KindUnavailable, "list of hosts: %w", err))
		return
	}
	since := parseEntityTag(r.Header.Get("If-None-Match"))
	hosts, version, err := p.hosts.List(r.Context(), since)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", formatEntityTag(version))
	if version == since {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	data, err := clemplatform.EncodeHosts(hosts)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", mediaJSON)
	_, _ = w.Write(data)
}

func (p *Platform) putHost(w http.ResponseWriter, r *http.Request) {
	host, err := readHost(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	p.hosts.Set(host)
	w.WriteHeader(http.StatusNoContent)
}

func readHost(w http.ResponseWriter, r *http.Request) (*clemwire.Host, error) {
	data, err := readBody(w, r, maxHostBytes)
	if err != nil {
		return nil, err
	}
	host := &clemwire.Host{}
	if err := protojson.Unmarshal(data, host); err != nil {
		return nil, clementineturn.Invalid("host", "%v", err)
	}
	if host.GetName() != chi.URLParam(r, "name") {
		return nil, clementineturn.Invalid("host.name", "found %q, the path says %q", host.GetName(), chi.URLParam(r, "name"))
	}
	return host, nil
}

func (p *Platform) deleteHost(w http.ResponseWriter, r *http.Request) {
	p.hosts.Remove(chi.URLParam(r, "name"))
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) drainHost(w http.ResponseWriter, r *http.Request) {
	name := chi.URLParam(r, "name")
	if !p.hosts.Drain(name) {
		writeError(w, clementineturn.Errorf(clementineturn.KindNotFound, "no host %q", name))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// reloadHosts reads the hosts file if it changed.
func (p *Platform) reloadHosts() error {
	if p.hostsFile == "" {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	info, err := os.Stat(p.hostsFile)
	if err != nil {
		return err
	}
	state := fileState{modTime: info.ModTime(), size: info.Size()}
	if state == p.hostsFileState {
		return nil
	}
	data, err := os.ReadFile(p.hostsFile)
	if err != nil {
		return err
	}
	var invalid error
	hosts, err := clemplatform.DecodeHosts(data, func(err error) { invalid = err })
	if err = cmp.Or(err, invalid); err != nil {
		return fmt.Errorf("%s: %w", p.hostsFile, err)
	}
	p.hosts.Replace(hosts)
	p.hostsFileState = state
	return nil
}

// formatEntityTag returns the strong entity tag of a version.
func formatEntityTag(version clementineturn.Version) string { return `"` + string(version) + `"` }

func parseEntityTag(tag string) clementineturn.Version {
	return clementineturn.Version(strings.Trim(tag, `"`))
}

// precondition returns the version that a conditional write expects, which is
// empty for an insert. Writes without a condition are refused.
func precondition(header http.Header) (clementineturn.Version, error) {
	ifMatch, ifNoneMatch := header.Get("If-Match"), header.Get("If-None-Match")
	switch {
	case ifMatch == "" && ifNoneMatch == "*":
		return "", nil
	case ifNoneMatch == "" && len(ifMatch) > 2 && ifMatch[0] == '"' && ifMatch[len(ifMatch)-1] == '"':
		return parseEntityTag(ifMatch), nil
	}
	return "", clementineturn.Invalid("If-Match", "a write needs either If-Match with one strong entity tag or If-None-Match: *")
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, clementineturn.Refuse(clementineturn.KindTooLarge, "the body is larger than %d bytes", limit)
	}
	if err != nil {
		return nil, clementineturn.Refuse(clementineturn.KindInvalid, "body: %v", err)
	}
	return data, nil
}

// writeError responds with the status of the error's kind, except that conflicts
// are failed preconditions and rate limits have a status of their own. A write
// whose outcome is to stay unknown gets no response: the connection is closed.
func writeError(w http.ResponseWriter, err error) {
	e := clementineturn.AsError(err)
	status := e.Kind().Info().Status()
	switch {
	case e.Kind() == clementineturn.KindUnknown:
		abort()
	case e.Kind() == clementineturn.KindConflict:
		status = http.StatusPreconditionFailed
	case errors.Is(err, errRateLimit):
		status = http.StatusTooManyRequests
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	http.Error(w, e.Error(), status)
}
