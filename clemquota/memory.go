package clemquota

import (
	"io"
	"os"
	"runtime/debug"

	clementineturn "github.com/clementineturn/clementineturn"
)

const (
	// budgetShare is the share of a process's memory that requests may hold. The rest is
	// for connections, for what the process knows of the fleet and for the garbage
	// collector.
	budgetShare = 3.0 / 8
	// minBudget is the smallest budget in bytes: room for a request with a body of 4 MiB
	// and for ordinary ones beside it.
	minBudget = 8 << 20
	// programMemory is the resident memory in bytes that the garbage collector does not
	// count: the program's text and data.
	programMemory = 16 << 20
	// softLimitShare is the share of the rest from which on the garbage collector works
	// harder, and minSoftLimitShare the smallest share of the whole.
	softLimitShare    = 0.9
	minSoftLimitShare = 0.5
	// firstBodySize is the size in bytes of the first buffer of a body: a client that
	// only states a large body holds no more. unknownBodySize is that of a body without a
	// stated length.
	firstBodySize   = 64 << 10
	unknownBodySize = 4 << 10
	// bodyGrowth is the factor by which a full buffer grows.
	bodyGrowth = 4
)

// BudgetFor returns the size of the budget of a process that may use the memory, in
// bytes; 0 without a limit.
func BudgetFor(memory int64) int64 {
	if memory <= 0 {
		return 0
	}
	return max(int64(budgetShare*float64(memory)), minBudget)
}

// LimitProcess makes the garbage collector of this process work harder before it uses
// the memory, unless the environment sets Go's limit. 0 changes nothing.
func LimitProcess(memory int64) {
	if memory > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(max(softLimitShare*float64(memory-programMemory), minSoftLimitShare*float64(memory))))
	}
}

// ReadAll reads to the end and charges the memory before it is read. The length is the
// expected one, or -1 if unknown, and the limit the one above which the reader returns an
// error. Errors: those of Charge and of the reader.
func (h *Hold) ReadAll(from io.Reader, length, limit int64) ([]byte, error) {
	var charged int64
	return readAll(from, length, limit, func(size int64) error {
		if err := h.Charge(size); err != nil {
			return err
		}
		h.Return(charged)
		charged = size
		return nil
	})
}

// readAll reads to the end and calls the function with the size of each buffer before it
// makes it. It returns what was read with an error too.
func readAll(from io.Reader, length, limit int64, charge func(size int64) error) ([]byte, error) {
	size := int64(unknownBodySize)
	longest := limit
	if length >= 0 {
		size, longest = min(firstBodySize, length), length
	}
	if err := charge(size); err != nil {
		return nil, err
	}
	body := make([]byte, 0, size)
	for {
		if len(body) == cap(body) {
			if int64(len(body)) >= longest {
				return body, expectEnd(from)
			}
			size := min(bodyGrowth*int64(cap(body)), longest)
			if err := charge(size); err != nil {
				return body, err
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
}

// expectEnd reads the end of a body that has its expected length. The error of a body
// above a limit comes with it.
func expectEnd(from io.Reader) error {
	var one [1]byte
	for {
		n, err := from.Read(one[:])
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		case n > 0:
			return clementineturn.Errorf(clementineturn.KindInternal, "a body is longer than its stated length")
		}
	}
}
