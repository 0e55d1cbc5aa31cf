package clemstandin

import (
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
	maxRow    = 1 << 20
	maxObject = 64 << 20
	maxHost   = 64 << 10
)

// PlatformConfig describes a Platform to construct.
type PlatformConfig struct {
	// File holds the list of hosts, {"hosts": [...]}. It is read again when
	// it changes. Without one the list starts empty.
	File string
	// Faults holds at the start.
	Faults PlatformFaults
}

// Platform is an http.Handler that stands in for the platform: the table, the
// object store, the weight store and the list of hosts.
type Platform struct {
	http.Handler
	table   *Table
	objects *Objects
	weights *Objects
	hosts   *Hosts
	file    string

	// mu guards what follows. It is taken before the locks of the services.
	mu     sync.Mutex
	faults PlatformFaults
	stamp  stamp
}

// stamp tells one state of a file from the next.
type stamp struct {
	time time.Time
	size int64
}

// NewPlatform returns the platform that the configuration describes. It fails
// if the file of hosts cannot be read.
func NewPlatform(c PlatformConfig) (*Platform, error) {
	p := &Platform{
		table: NewTable(), objects: NewObjects(), weights: NewObjects(),
		hosts: NewHosts(), file: c.File,
	}
	p.Inject(c.Faults)
	if err := p.reload(); err != nil {
		return nil, err
	}
	p.Handler = p.routes()
	return p, nil
}

// Table returns the table behind the platform's HTTP interface.
func (p *Platform) Table() *Table { return p.table }

// Objects returns the object store behind the platform's HTTP interface.
func (p *Platform) Objects() *Objects { return p.objects }

// Weights returns the weight store behind the platform's HTTP interface.
func (p *Platform) Weights() *Objects { return p.weights }

// Hosts returns the list behind the platform's HTTP interface.
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
	r.Post("/hosts/{name}/leave", p.leaveHost)
	r.Get("/faults", p.getFaults)
	r.Put("/faults", p.putFaults)
	r.Get("/counts", p.getCounts)
	return r
}

// rest returns the unescaped remainder of the path.
func rest(r *http.Request) string {
	text := chi.URLParam(r, "*")
	if r.URL.RawPath == "" {
		return text
	}
	if plain, err := url.PathUnescape(text); err == nil {
		return plain
	}
	return text
}

func (p *Platform) getRow(w http.ResponseWriter, r *http.Request) {
	row, err := p.table.Get(r.Context(), rest(r))
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", entityTag(row.Version()))
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(row.Value())
}

func (p *Platform) putRow(w http.ResponseWriter, r *http.Request) {
	version, err := precondition(r.Header)
	if err != nil {
		writeError(w, err)
		return
	}
	value, err := readBody(w, r, maxRow)
	if err != nil {
		writeError(w, err)
		return
	}
	row, err := p.table.Put(r.Context(), rest(r), value, version)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", entityTag(row.Version()))
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) deleteRow(w http.ResponseWriter, r *http.Request) {
	version, err := precondition(r.Header)
	if err == nil {
		err = p.table.Delete(r.Context(), rest(r), version)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func getObject(objects *Objects) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		value, err := objects.Get(r.Context(), rest(r))
		if err != nil {
			writeError(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(value)
	}
}

func putObject(objects *Objects) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		value, err := readBody(w, r, maxObject)
		if err == nil {
			err = objects.Put(r.Context(), rest(r), value)
		}
		if err != nil {
			writeError(w, err)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}
}

func (p *Platform) listHosts(w http.ResponseWriter, r *http.Request) {
	if err := p.reload(); err != nil {
		writeError(w, clementineturn.Errorf(clementineturn.KindUnavailable, "list of hosts: %w", err))
		return
	}
	since := untag(r.Header.Get("If-None-Match"))
	hosts, version, err := p.hosts.List(r.Context(), since)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", entityTag(version))
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
	data, err := readBody(w, r, maxHost)
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

func (p *Platform) leaveHost(w http.ResponseWriter, r *http.Request) {
	name := chi.URLParam(r, "name")
	if !p.hosts.Leave(name) {
		writeError(w, clementineturn.Errorf(clementineturn.KindNotFound, "no host %q", name))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// reload reads the file of hosts if it changed.
func (p *Platform) reload() error {
	if p.file == "" {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	info, err := os.Stat(p.file)
	if err != nil {
		return err
	}
	found := stamp{time: info.ModTime(), size: info.Size()}
	if found == p.stamp {
		return nil
	}
	data, err := os.ReadFile(p.file)
	if err != nil {
		return err
	}
	hosts, err := clemplatform.DecodeHosts(data)
	if err != nil {
		return fmt.Errorf("%s: %w", p.file, err)
	}
	p.hosts.Replace(hosts)
	p.stamp = found
	return nil
}

// entityTag returns the strong entity tag of a version.
func entityTag(version clementineturn.Version) string { return `"` + string(version) + `"` }

func untag(tag string) clementineturn.Version { return clementineturn.Version(strings.Trim(tag, `"`)) }

// precondition returns the version that a write rests on. Writes without a
// condition are refused.
func precondition(header http.Header) (clementineturn.Version, error) {
	match, none := header.Get("If-Match"), header.Get("If-None-Match")
	switch {
	case match == "" && none == "*":
		return "", nil
	case none == "" && len(match) > 2 && match[0] == '"' && match[len(match)-1] == '"':
		return untag(match), nil
	}
	return "", clementineturn.Invalid("If-Match", "a write needs either If-Match with one strong entity tag or If-None-Match: *")
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, clementineturn.Refuse(clementineturn.KindTooLarge, "the body is larger than %d bytes", limit)
	}
	if err != nil {
		return nil, clementineturn.Refuse(clementineturn.KindInvalid, "body: %v", err)
	}
	return data, nil
}

// writeError answers with the status that the error's kind has here. A write
// whose answer is lost gets none: the connection closes.
func writeError(w http.ResponseWriter, err error) {
	e := clementineturn.AsError(err)
	status := e.Kind().Info().Status()
	switch {
	case e.Kind() == clementineturn.KindUnknown:
		abort()
	case e.Kind() == clementineturn.KindConflict:
		status = http.StatusPreconditionFailed
	case errors.Is(err, errRate):
		status = http.StatusTooManyRequests
		w.Header().Set("Retry-After", retryAfter)
	}
	http.Error(w, e.Error(), status)
}
