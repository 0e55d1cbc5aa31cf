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
}

// NewReadLimit returns a reader without limits.
func NewReadLimit(from io.Reader) *ReadLimit { return &ReadLimit{from: from} }

// Set limits the bytes and line ends that are read from now on.
func (l *ReadLimit) Set(maxBytes, maxLines int) { l.bytes, l.lines, l.isSet = maxBytes, maxLines, true }

// Lift removes the limits.
func (l *ReadLimit) Lift() { l.isSet = false }

// IsExceeded reports whether a read ended because of a limit.
func (l *ReadLimit) IsExceeded() bool { return l.isExceeded }

// Read implements io.Reader.
func (l *ReadLimit) Read(to []byte) (int, error) {
	if !l.isSet {
		return l.from.Read(to)
	}
	if l.bytes <= 0 || l.lines <= 0 {
		l.isExceeded = true
		return 0, errLimitExceeded
	}
	n, err := l.from.Read(to[:min(len(to), l.bytes)])
	l.bytes -= n
	l.lines -= bytes.Count(to[:n], []byte{'\n'})
	return n, err
}
