package clementineturn

import (
	"net/http"
	"time"
)

// Kind is one of the closed list of error kinds.
type Kind uint8

// The closed list of error kinds. KindTable maps each to its answer.
const (
	KindInternal Kind = iota
	KindInvalid
	KindUnauthenticated
	KindForbidden
	KindNotFound
	KindExists
	KindConflict
	KindTooLarge
	KindKeyMissing
	KindKeyReused
	KindInProgress
	KindUnknown
	KindOverloaded
	KindDraining
	KindStale
	KindExpired
	KindTimeout
	KindCut
	KindMismatch
	KindEvicted
	KindUnavailable
	KindUnready
	KindCancelled
	KindSlow
	kindCount
)

// KindInfo is the answer that belongs to an error kind.
type KindInfo struct {
	name    string
	status  int
	family  string
	retry   time.Duration
	another bool
	doc     string
}

// Name returns the kind's name as it stands in logs and as code in answers.
func (i KindInfo) Name() string { return i.name }

// Status returns the HTTP status of an answer of the kind.
func (i KindInfo) Status() int { return i.status }

// Family returns the type field of the OpenAI error form.
func (i KindInfo) Family() string { return i.family }

// Retry returns the time after which a caller may try again, or 0 if a repeat is no use.
func (i KindInfo) Retry() time.Duration { return i.retry }

// Another reports whether an entry may offer the same work to another
// backend server after a refusal of the kind that says the work was not run.
func (i KindInfo) Another() bool { return i.another }

// Doc returns the explanation for the catalogue page.
func (i KindInfo) Doc() string { return i.doc }

const (
	familyRequest = "invalid_request_error"
	familyAuth    = "authentication_error"
	familyServer  = "server_error"
	familyRate    = "rate_limit_error"
)

var kindTable = [kindCount]KindInfo{
	KindInternal:        {"internal", http.StatusInternalServerError, familyServer, 0, false, "A fault of the system itself. The log line with the request id tells more."},
	KindInvalid:         {"invalid", http.StatusBadRequest, familyRequest, 0, false, "The request or setting is malformed; the field is named."},
	KindUnauthenticated: {"unauthenticated", http.StatusUnauthorized, familyAuth, 0, false, "No key, or a key that no organisation or operator holds."},
	KindForbidden:       {"forbidden", http.StatusForbidden, familyAuth, 0, false, "The key is valid but does not reach this."},
	KindNotFound:        {"not_found", http.StatusNotFound, familyRequest, 0, false, "No such path, model, service, request or entity."},
	KindExists:          {"exists", http.StatusConflict, familyRequest, 0, false, "An entity of that name exists."},
	KindConflict:        {"conflict", http.StatusConflict, familyRequest, 0, false, "Somebody else changed the same thing first; read it again."},
	KindTooLarge:        {"too_large", http.StatusRequestEntityTooLarge, familyRequest, 0, false, "The body is larger than the listener's limit."},
	KindKeyMissing:      {"key_missing", http.StatusBadRequest, familyRequest, 0, false, "The call runs at most once and needs an Idempotency-Key header."},
	KindKeyReused:       {"key_reused", http.StatusUnprocessableEntity, familyRequest, 0, false, "The Idempotency-Key was used with another payload."},
	KindInProgress:      {"in_progress", http.StatusConflict, familyRequest, time.Second, false, "An earlier attempt with the same Idempotency-Key has not ended; repeat later to get its outcome."},
	KindUnknown:         {"unknown", http.StatusBadGateway, familyServer, 0, false, "The work was handed to a backend server and its outcome is not known. At-most-once work stays so until an operator resolves it."},
	KindOverloaded:      {"overloaded", http.StatusTooManyRequests, familyRate, time.Second, true, "No backend server has room for the work within its deadline or its organisation's queue is full."},
	KindDraining:        {"draining", http.StatusServiceUnavailable, familyServer, time.Second, true, "The backend server is leaving and takes no new work."},
	KindStale:           {"stale", http.StatusServiceUnavailable, familyServer, time.Second, false, "The offer rests on an older configuration than the sidecar's; the entry learns and offers again."},
	KindExpired:         {"expired", http.StatusGatewayTimeout, familyServer, time.Second, false, "The deadline passed before the work was handed to a backend server."},
	KindTimeout:         {"timeout", http.StatusGatewayTimeout, familyServer, 0, false, "The deadline passed after the work was handed to a backend server."},
	KindCut:             {"cut", http.StatusBadGateway, familyServer, time.Second, false, "The answer ended before its end marker."},
	KindMismatch:        {"mismatch", http.StatusBadGateway, familyServer, 0, false, "An answer carried the id of another request and was dropped."},
	KindEvicted:         {"evicted", http.StatusGone, familyRequest, 0, false, "The buffered answer is no longer held; it cannot be resumed."},
	KindUnavailable:     {"unavailable", http.StatusServiceUnavailable, familyServer, time.Second, true, "A backend server or the platform's store cannot be reached."},
	KindUnready:         {"unready", http.StatusServiceUnavailable, familyServer, time.Second, true, "The process holds no configuration yet."},
	KindCancelled:       {"cancelled", 499, familyRequest, 0, false, "The caller went away."},
	KindSlow:            {"slow", http.StatusServiceUnavailable, familyServer, time.Second, true, "The backend server is slower than its pool and hands waiting work back."},
}

// Info returns the answer that belongs to the kind.
func (k Kind) Info() KindInfo {
	if k >= kindCount {
		return kindTable[KindInternal]
	}
	return kindTable[k]
}

// String returns the kind's name.
func (k Kind) String() string { return k.Info().name }

// Kinds returns every kind in the order of the list.
func Kinds() []Kind {
	kinds := make([]Kind, kindCount)
	for i := range kinds {
		kinds[i] = Kind(i)
	}
	return kinds
}

// ParseKind returns the kind of the given name, or KindInternal and false.
func ParseKind(name string) (Kind, bool) {
	for k, info := range kindTable {
		if info.name == name {
			return Kind(k), true
		}
	}
	return KindInternal, false
}
