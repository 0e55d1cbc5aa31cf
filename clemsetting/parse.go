package clemsetting

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	clementineturn "github.com/clementineturn/clementineturn"
)

// maxFile is the largest settings file in bytes.
const maxFile = 1 << 20

// maxDepth bounds the nesting of a settings file.
const maxDepth = 8

// Faults is the error of settings that fail their checks. It holds every
// fault, and errors.As finds the first as a *clementineturn.Error.
type Faults struct {
	faults []*clementineturn.Error
}

// All returns the faults in the order of their keys' paths.
func (f *Faults) All() []*clementineturn.Error { return f.faults }

// Error returns one line per fault.
func (f *Faults) Error() string {
	lines := make([]string, len(f.faults))
	for i, fault := range f.faults {
		lines[i] = fault.Message()
		if fault.Field() != "" {
			lines[i] = fault.Field() + ": " + fault.Message()
		}
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the faults.
func (f *Faults) Unwrap() []error {
	errs := make([]error, len(f.faults))
	for i, fault := range f.faults {
		errs[i] = fault
	}
	return errs
}

// Read returns the settings of a file. The error is a *Faults with all
// faults, or a KindNotFound or KindUnavailable error if the file cannot be read.
func Read(path string) (*Settings, error) {
	file, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, clementineturn.Errorf(clementineturn.KindNotFound, "settings: %w", err)
	}
	if err != nil {
		return nil, clementineturn.Errorf(clementineturn.KindUnavailable, "settings: %w", err)
	}
	defer file.Close()
	data, err := io.ReadAll(io.LimitReader(file, maxFile+1))
	if err != nil {
		return nil, clementineturn.Errorf(clementineturn.KindUnavailable, "settings: %w", err)
	}
	return Parse(data)
}

// Parse returns the settings of a JSON text. The error is a *Faults that
// gives, for each fault, the key's path, what was found and what is allowed.
func Parse(data []byte) (*Settings, error) {
	c := &checker{}
	if len(data) > maxFile {
		c.fault("", "found more than %d bytes, allowed are %d", maxFile, maxFile)
		return nil, c.err()
	}
	root := c.decode(data)
	if root == nil {
		return nil, c.err()
	}
	s := c.settings(root)
	if err := c.err(); err != nil {
		return nil, err
	}
	return s, nil
}

// decode reads one JSON object with unique keys.
func (c *checker) decode(data []byte) map[string]any {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	value, err := c.value(decoder, "", 0)
	if err != nil {
		c.fault("", "found malformed JSON at byte %d (%v), allowed is one JSON object", decoder.InputOffset(), err)
		return nil
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		c.fault("", "found text after the JSON object at byte %d, allowed is one JSON object", decoder.InputOffset())
		return nil
	}
	root, ok := value.(map[string]any)
	if !ok {
		c.fault("", "found %s, allowed is one JSON object", describe(value))
		return nil
	}
	return root
}

// value reads the next JSON value. Unlike json.Unmarshal it sees repeated keys.
func (c *checker) value(decoder *json.Decoder, path string, depth int) (any, error) {
	token, err := decoder.Token()
	if err != nil {
		return nil, err
	}
	if depth > maxDepth {
		return nil, errors.New("nested too deep")
	}
	switch token {
	case json.Delim('{'):
		return c.object(decoder, path, depth)
	case json.Delim('['):
		return c.list(decoder, path, depth)
	}
	return token, nil
}

func (c *checker) object(decoder *json.Decoder, path string, depth int) (any, error) {
	object := map[string]any{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return nil, err
		}
		key, _ := token.(string)
		below := join(path, key)
		value, err := c.value(decoder, below, depth+1)
		if err != nil {
			return nil, err
		}
		if _, ok := object[key]; ok {
			c.fault(below, "found the key twice, allowed is once")
		}
		object[key] = value
	}
	_, err := decoder.Token()
	return object, err
}

func (c *checker) list(decoder *json.Decoder, path string, depth int) (any, error) {
	list := []any{}
	for decoder.More() {
		value, err := c.value(decoder, fmt.Sprintf("%s[%d]", path, len(list)), depth+1)
		if err != nil {
			return nil, err
		}
		list = append(list, value)
	}
	_, err := decoder.Token()
	return list, err
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// describe names a JSON value in a fault.
func describe(value any) string {
	switch v := value.(type) {
	case nil:
		return "null"
	case map[string]any:
		return "an object"
	case []any:
		return "a list"
	case string:
		return fmt.Sprintf("%.80q", v)
	case json.Number:
		return v.String()
	}
	return fmt.Sprint(value)
}
