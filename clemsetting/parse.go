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

// maxFileBytes is the maximum size of a settings file.
const maxFileBytes = 1 << 20

// maxDepth is the maximum depth of nested JSON values in a settings file.
const maxDepth = 8

// ValidationError is returned for invalid settings. It holds an error for each
// problem found; errors.As finds the first as a *clementineturn.Error.
type ValidationError struct {
	errs []*clementineturn.Error
}

// All returns the errors, sorted by the path of the key.
func (e *ValidationError) All() []*clementineturn.Error { return e.errs }

// Error returns one line for each error.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.errs))
	for i, err := range e.errs {
		lines[i] = err.Message()
		if err.Field() != "" {
			lines[i] = err.Field() + ": " + err.Message()
		}
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the errors, sorted by the path of the key.
func (e *ValidationError) Unwrap() []error {
	errs := make([]error, len(e.errs))
	for i, err := range e.errs {
		errs[i] = err
	}
	return errs
}

// Read reads and validates a settings file. The error is a *ValidationError if
// the settings are invalid, or a *clementineturn.Error of KindNotFound or
// KindUnavailable if the file cannot be read.
func Read(path string) (*Settings, error) {
	file, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, clementineturn.Errorf(clementineturn.KindNotFound, "settings: %w", err)
	}
	if err != nil {
		return nil, clementineturn.Errorf(clementineturn.KindUnavailable, "settings: %w", err)
	}
	defer file.Close()
	data, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return nil, clementineturn.Errorf(clementineturn.KindUnavailable, "settings: %w", err)
	}
	return Parse(data)
}

// Parse validates settings in JSON. The error is a *ValidationError, which
// states, for each problem, the path of the key, the value found and the values
// allowed.
func Parse(data []byte) (*Settings, error) {
	v := &validator{}
	if len(data) > maxFileBytes {
		v.addError("", "found more than %d bytes, allowed are %d", maxFileBytes, maxFileBytes)
		return nil, v.err()
	}
	root := v.decode(data)
	if root == nil {
		return nil, v.err()
	}
	s := v.checkSettings(root)
	if err := v.err(); err != nil {
		return nil, err
	}
	return s, nil
}

// decode decodes a single JSON object.
func (v *validator) decode(data []byte) map[string]any {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	value, err := v.decodeValue(decoder, "", 0)
	if err != nil {
		v.addError("", "found malformed JSON at byte %d (%v), allowed is one JSON object", decoder.InputOffset(), err)
		return nil
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		v.addError("", "found text after the JSON object at byte %d, allowed is one JSON object", decoder.InputOffset())
		return nil
	}
	root, ok := value.(map[string]any)
	if !ok {
		v.addError("", "found %s, allowed is one JSON object", describeValue(value))
		return nil
	}
	return root
}

// decodeValue decodes the next JSON value. Unlike json.Unmarshal it reports
// duplicate keys.
func (v *validator) decodeValue(decoder *json.Decoder, path string, depth int) (any, error) {
	token, err := decoder.Token()
	if err != nil {
		return nil, err
	}
	if depth > maxDepth {
		return nil, errors.New("nested too deep")
	}
	switch token {
	case json.Delim('{'):
		return v.decodeObject(decoder, path, depth)
	case json.Delim('['):
		return v.decodeList(decoder, path, depth)
	}
	return token, nil
}

func (v *validator) decodeObject(decoder *json.Decoder, path string, depth int) (any, error) {
	object := map[string]any{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return nil, err
		}
		key, _ := token.(string)
		keyPath := joinPath(path, key)
		value, err := v.decodeValue(decoder, keyPath, depth+1)
		if err != nil {
			return nil, err
		}
		if _, ok := object[key]; ok {
			v.addError(keyPath, "found the key twice, allowed is once")
		}
		object[key] = value
	}
	_, err := decoder.Token()
	return object, err
}

func (v *validator) decodeList(decoder *json.Decoder, path string, depth int) (any, error) {
	list := []any{}
	for decoder.More() {
		value, err := v.decodeValue(decoder, fmt.Sprintf("%s[%d]", path, len(list)), depth+1)
		if err != nil {
			return nil, err
		}
		list = append(list, value)
	}
	_, err := decoder.Token()
	return list, err
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// describeValue returns a short description of a JSON value for an error.
func describeValue(value any) string {
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
