package clementineturn

import (
	"net/http"
	"time"
)

// Kind is the kind of an Error. The list of kinds is closed: responses, logs
// and retry rules depend only on the kind.
type Kind uint8

// The closed list of error kinds. kindTable holds the HTTP status and the retry
// rule of each.
const (
	// KindInternal is a fault of the system itself. It is also the kind of
	// errors that are not an Error and of unknown names on the wire.
	KindInternal Kind = iota
	// KindInvalid is a malformed request or setting. Error.Field names the
	// part.
	KindInvalid
	// KindUnauthenticated is a missing key, or one that belongs to no
	// organisation or operator.
	KindUnauthenticated
	// KindForbidden is a valid key without access to what was requested.
	KindForbidden
	// KindNotFound is a path, model, service, request, entity or row that does
	// not exist.
	KindNotFound
	// KindExists is the creation of an entity whose name is in use.
	KindExists
	// KindConflict is a change based on an outdated version, or one that
	// another writer excludes.
	KindConflict
	// KindTooLarge is a request body above the listener's limit.
	KindTooLarge
	// KindKeyMissing is an at-most-once call without an Idempotency-Key header.
	KindKeyMissing
	// KindKeyReused is an Idempotency-Key or request id that was used before
	// with another payload.
	KindKeyReused
	// KindInProgress is a call whose Idempotency-Key belongs to an attempt that
	// has not ended.
	KindInProgress
	// KindUnknown is an unknown outcome: work was handed to a backend server,
	// or a write to the platform, and it may or may not have taken effect.
	KindUnknown
	// KindOverloaded is work for which no backend server has room within the
	// deadline, or whose organisation's queue is full.
	KindOverloaded
	// KindDraining is a refusal by a backend server that takes no new work.
	KindDraining
	// KindStale is an offer based on an older configuration than the sidecar's,
	// or a store version whose history is no longer held.
	KindStale
	// KindExpired is a deadline that passed before the work was handed to a
	// backend server.
	KindExpired
	// KindTimeout is a deadline that passed after the work was handed to a
	// backend server.
	KindTimeout
	// KindCut is an answer that ended before its end marker.
	KindCut
	// KindMismatch is an answer that was dropped because it carried the id of
	// another request or because its frames contradict each other.
	KindMismatch
	// KindEvicted is an answer that is no longer buffered and cannot be
	// resumed.
	KindEvicted
	// KindUnavailable is a backend server or a service of the platform that
	// cannot be reached.
	KindUnavailable
	// KindUnready is a process that has no configuration yet.
	KindUnready
	// KindCancelled is a request that the caller gave up, or an answer that
	// another attempt of the same request replaced.
	KindCancelled
	// KindSlow is queued work that a backend server returns because it is
	// slower than its pool.
	KindSlow
	// KindQuarantined is a request with a prompt part that crashes backend
	// servers.
	KindQuarantined
	kindCount
)

// KindInfo describes an error kind: how it appears in responses and which
// retries it allows.
type KindInfo struct {
	name              string
	status            int
	openAIType        string
	retryAfter        time.Duration
	allowsOtherServer bool
	doc               string
}

// Name returns the kind's name in logs, which is also the code field of error
// responses.
func (i KindInfo) Name() string { return i.name }

// Status returns the HTTP status of an error response.
func (i KindInfo) Status() int { return i.status }

// OpenAIType returns the type field of an error response in OpenAI's format.
func (i KindInfo) OpenAIType() string { return i.openAIType }

// RetryAfter returns the time after which a caller may retry, or 0 if a retry
// is not useful.
func (i KindInfo) RetryAfter() time.Duration { return i.retryAfter }

// AllowsOtherServer reports whether an entry may offer the same work to another
// backend server after an error of the kind with NotRun set.
func (i KindInfo) AllowsOtherServer() bool { return i.allowsOtherServer }

// Doc returns the description on the generated page of error kinds.
func (i KindInfo) Doc() string { return i.doc }

const (
	typeInvalidRequest = "invalid_request_error"
	typeAuthentication = "authentication_error"
	typeServer         = "server_error"
	typeRateLimit      = "rate_limit_error"
)

// kindTable holds, for each kind, its name, HTTP status, OpenAI error type,
// retry delay, whether another server may be tried, and its description.
var kindTable = [kindCount]KindInfo{
	KindInternal:        {"internal", http.StatusInternalServerError, typeServer, 0, false, "A fault of the system itself. The log line with the request id tells more."},
	KindInvalid:         {"invalid", http.StatusBadRequest, typeInvalidRequest, 0, false, "The request or setting is malformed; the field is named."},
	KindUnauthenticated: {"unauthenticated", http.StatusUnauthorized, typeAuthentication, 0, false, "No key, or a key that no organisation or operator holds."},
	KindForbidden:       {"forbidden", http.StatusForbidden, typeAuthentication, 0, false, "The key is valid but does not reach this."},
	KindNotFound:        {"not_found", http.StatusNotFound, typeInvalidRequest, 0, false, "No such path, model, service, request or entity."},
	KindExists:          {"exists", http.StatusConflict, typeInvalidRequest, 0, false, "An entity of that name exists."},
	KindConflict:        {"conflict", http.StatusConflict, typeInvalidRequest, 0, false, "Somebody else changed the same thing first; read it again."},
	KindTooLarge:        {"too_large", http.StatusRequestEntityTooLarge, typeInvalidRequest, 0, false, "The body is larger than the listener's limit."},
	KindKeyMissing:      {"key_missing", http.StatusBadRequest, typeInvalidRequest, 0, false, "The call runs at most once and needs an Idempotency-Key header."},
	KindKeyReused:       {"key_reused", http.StatusUnprocessableEntity, typeInvalidRequest, 0, false, "The Idempotency-Key was used with another payload."},
	KindInProgress:      {"in_progress", http.StatusConflict, typeInvalidRequest, time.Second, false, "An earlier attempt with the same Idempotency-Key has not ended; repeat later to get its outcome."},
	KindUnknown:         {"unknown", http.StatusBadGateway, typeServer, 0, false, "The work was handed to a backend server and its outcome is not known. At-most-once work stays so until an operator resolves it."},
	KindOverloaded:      {"overloaded", http.StatusTooManyRequests, typeRateLimit, time.Second, true, "No backend server has room for the work within its deadline or its organisation's queue is full."},
	KindDraining:        {"draining", http.StatusServiceUnavailable, typeServer, time.Second, true, "The backend server is leaving and takes no new work."},
	KindStale:           {"stale", http.StatusServiceUnavailable, typeServer, time.Second, false, "The offer rests on an older configuration than the sidecar's; the entry learns and offers again."},
	KindExpired:         {"expired", http.StatusGatewayTimeout, typeServer, time.Second, false, "The deadline passed before the work was handed to a backend server."},
	KindTimeout:         {"timeout", http.StatusGatewayTimeout, typeServer, 0, false, "The deadline passed after the work was handed to a backend server."},
	KindCut:             {"cut", http.StatusBadGateway, typeServer, time.Second, false, "The answer ended before its end marker."},
	KindMismatch:        {"mismatch", http.StatusBadGateway, typeServer, 0, false, "An answer carried the id of another request and was dropped."},
	KindEvicted:         {"evicted", http.StatusGone, typeInvalidRequest, 0, false, "The buffered answer is no longer held; it cannot be resumed."},
	KindUnavailable:     {"unavailable", http.StatusServiceUnavailable, typeServer, time.Second, true, "A backend server or the platform's store cannot be reached."},
	KindUnready:         {"unready", http.StatusServiceUnavailable, typeServer, time.Second, true, "The process holds no configuration yet."},
	KindCancelled:       {"cancelled", 499, typeInvalidRequest, 0, false, "The caller went away."},
	KindSlow:            {"slow", http.StatusServiceUnavailable, typeServer, time.Second, true, "The backend server is slower than its pool and hands waiting work back."},
	KindQuarantined:     {"quarantined", http.StatusServiceUnavailable, typeServer, 0, false, "A part of the prompt crashed several backend servers; the message names it. The same request will be refused again."},
}

// Info returns the kind's description. A value outside the list is treated as
// KindInternal.
func (k Kind) Info() KindInfo {
	if k >= kindCount {
		return kindTable[KindInternal]
	}
	return kindTable[k]
}

// String returns the kind's name, as Name of its KindInfo does.
func (k Kind) String() string { return k.Info().name }

// Kinds returns every kind in the order of the list.
func Kinds() []Kind {
	kinds := make([]Kind, kindCount)
	for i := range kinds {
		kinds[i] = Kind(i)
	}
	return kinds
}

// ParseKind returns the kind with the given name, or KindInternal and false if
// there is none.
func ParseKind(name string) (Kind, bool) {
	for k, info := range kindTable {
		if info.name == name {
			return Kind(k), true
		}
	}
	return KindInternal, false
}
