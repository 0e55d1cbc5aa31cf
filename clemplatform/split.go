package clemplatform

import (
	"bytes"
	"encoding/json"
)

// splitHosts returns the JSON form of each host.
func splitHosts(data []byte) ([]json.RawMessage, error) {
	var list hostList
	err := json.Unmarshal(data, &list)
	if err == nil {
		return list.Hosts, nil
	}
	// Unmarshal fails for the whole list if one host is nested too deeply.
	if hosts, ok := splitDeepHosts(data); ok {
		return hosts, nil
	}
	return nil, err
}

// splitDeepHosts is splitHosts for values that are nested at any depth. It returns
// false if the data is not such a list.
func splitDeepHosts(data []byte) ([]json.RawMessage, bool) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	if token, err := decoder.Token(); err != nil || token != json.Delim('{') {
		return nil, false
	}
	var hosts []json.RawMessage
	for decoder.More() {
		key, err := decoder.Token()
		if err != nil {
			return nil, false
		}
		if key != "hosts" {
			if skipValue(decoder) != nil {
				return nil, false
			}
			continue
		}
		if token, err := decoder.Token(); err != nil || token != json.Delim('[') {
			return nil, false
		}
		hosts = nil
		for decoder.More() {
			start := decoder.InputOffset()
			if skipValue(decoder) != nil {
				return nil, false
			}
			hosts = append(hosts, bytes.TrimLeft(data[start:decoder.InputOffset()], ", \t\r\n"))
		}
		if _, err := decoder.Token(); err != nil {
			return nil, false
		}
	}
	_, err := decoder.Token()
	return hosts, err == nil
}

// skipValue reads a value of any depth.
func skipValue(decoder *json.Decoder) error {
	for depth := 0; ; {
		token, err := decoder.Token()
		if err != nil {
			return err
		}
		switch token {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth == 0 {
			return nil
		}
	}
}
