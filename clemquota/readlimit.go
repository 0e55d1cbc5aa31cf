package clemquota

import (
	"bytes"
	"errors"
	"io"
)

// errLimitExceeded ends a read beyond the limit of a ReadLimit.
var errLimitExceeded = errors.New("read limit exceeded")

// ReadLimit is a reader with limits of bytes and lines that can be set and lifted. It is
// for the heads of responses: net/http reads heads of any size, and one line costs far
// more memory than its bytes.
type ReadLimit struct {
	from io.Reader
	// bytes and lines may still be read while isSet.
	bytes, lines      int
	isSet, isExceeded bool
	// charge, if set, is called with the memory that a head takes so far, and memory is
	// that memory. chargeErr is its error.
	charge    func(size int64) error
	memory    int64
	chargeErr error
}

// NewReadLimit returns a reader without limits.
func NewReadLimit(from io.Reader) *ReadLimit { return &ReadLimit{from: from} }

// Set limits the bytes and line ends that are read from now on.
func (l *ReadLimit) Set(maxBytes, maxLines int) { l.bytes, l.lines, l.isSet = maxBytes, maxLines, true }

// Charge sets a function that is called after each read under limits. Its argument is the
// memory in bytes of all that was read since Charge, as net/http parses it. Its error ends
// the reads.
func (l *ReadLimit) Charge(charge func(size int64) error) { l.charge, l.memory = charge, 0 }

// Lift removes the limits and the function.
func (l *ReadLimit) Lift() { l.isSet, l.charge = false, nil }

// IsExceeded reports whether a read ended because of a limit.
func (l *ReadLimit) IsExceeded() bool { return l.isExceeded }

// Read implements io.Reader.
func (l *ReadLimit) Read(to []byte) (int, error) {
	if !l.isSet {
		return l.from.Read(to)
	}
	switch {
	case l.chargeErr != nil:
		return 0, l.chargeErr
	case l.bytes <= 0 || l.lines <= 0:
		l.isExceeded = true
		return 0, errLimitExceeded
	}
	n, err := l.from.Read(to[:min(len(to), l.bytes)])
	lines := bytes.Count(to[:n], []byte{'\n'})
	l.bytes -= n
	l.lines -= lines
	if l.charge != nil {
		l.memory += int64(n) + int64(lines)*lineMemory
		if l.chargeErr = l.charge(l.memory); l.chargeErr != nil {
			return 0, l.chargeErr
		}
	}
	return n, err
}
