package clemorigin

import (
	"encoding/binary"
	"encoding/json"
	"maps"
	"slices"
	"time"

	clementineturn "github.com/clementineturn/clementineturn"
)

const (
	// maxRowStreams bounds the streams of a row, which take 11 bytes each: the platform's rows
	// have at most 64 kB.
	maxRowStreams = 4000
	// maxFleetStreams bounds the streams of the rows of all live entries together, and
	// maxKnownStreams those of the rows that an entry keeps: some megabytes.
	maxFleetStreams = 65536
	maxKnownStreams = 2 * maxFleetStreams
	// maxRowVersions bounds the software versions of a service in a row.
	maxRowVersions = 64
)

// row is what one process of an entry has written to the store.
type row struct {
	// version is the store's version of the row, changedAt when this entry first read it.
	// isRemoved is set if the store has the row no more.
	version   uint64
	changedAt time.Time
	isRemoved bool
	origins   map[Key]Origin
	// versions holds the software versions of each service that were in service.
	versions map[string][]string
}

// rowJSON is the encoded form of a row.
type rowJSON struct {
	Versions map[string][]string `json:"versions"`
	Streams  []rowStreams        `json:"streams,omitempty"`
}

// rowStreams holds the keys of streams with one origin, one after the other.
type rowStreams struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Keys    []byte `json:"keys"`
}

// encodeRow returns the value of a row with the origins of streams.
func encodeRow(versions map[string][]string, origins map[Key]Origin) ([]byte, error) {
	keys := map[Origin][]byte{}
	for _, key := range slices.Sorted(maps.Keys(origins)) {
		keys[origins[key]] = binary.BigEndian.AppendUint64(keys[origins[key]], uint64(key))
	}
	encoded := rowJSON{Versions: versions}
	for _, origin := range slices.SortedFunc(maps.Keys(keys), Origin.compare) {
		encoded.Streams = append(encoded.Streams, rowStreams{Service: origin.Service, Version: origin.Version, Keys: keys[origin]})
	}
	value, err := json.Marshal(encoded)
	if err != nil {
		return nil, clementineturn.Errorf(clementineturn.KindInternal, "encoding the origins of streams: %w", err)
	}
	return value, nil
}

// decodeRow decodes a row. Errors: KindInvalid, which names the field.
func decodeRow(value []byte) (row, error) {
	var decoded rowJSON
	if err := json.Unmarshal(value, &decoded); err != nil {
		return row{}, clementineturn.Invalid("origins", "%w", err)
	}
	r := row{origins: map[Key]Origin{}, versions: decoded.Versions}
	for service, versions := range decoded.Versions {
		if len(versions) > maxRowVersions {
			return row{}, clementineturn.Invalid("origins.versions", "%.50q has %d versions, more than %d", service, len(versions), maxRowVersions)
		}
	}
	for _, s := range decoded.Streams {
		if len(s.Keys)%keySize != 0 {
			return row{}, clementineturn.Invalid("origins.streams.keys", "%d bytes are no keys of %d bytes", len(s.Keys), keySize)
		}
		if len(r.origins)+len(s.Keys)/keySize > maxRowStreams {
			return row{}, clementineturn.Invalid("origins.streams", "it has more than %d streams", maxRowStreams)
		}
		for at := 0; at < len(s.Keys); at += keySize {
			r.origins[Key(binary.BigEndian.Uint64(s.Keys[at:]))] = Origin{Service: s.Service, Version: s.Version}
		}
	}
	return r, nil
}
