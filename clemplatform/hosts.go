package clemplatform

import (
	"context"
	"encoding/json"
	"net/http"

	"google.golang.org/protobuf/encoding/protojson"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemwire"
)

// hosts implements clementineturn.Hosts.
type hosts struct{ *Client }

// hostList is the JSON form of the list. Each host is in ProtoJSON. The type's
// name appears in the errors of encoding/json.
type hostList struct {
	Hosts []json.RawMessage `json:"hosts"`
}

// List implements clementineturn.Hosts.
func (h *hosts) List(ctx context.Context, since clementineturn.Version) ([]*clemwire.Host, clementineturn.Version, error) {
	var header http.Header
	if since != "" {
		header = http.Header{"If-None-Match": {string(since)}}
	}
	a, err := h.read(ctx, "/hosts", header)
	if err != nil {
		return nil, "", err
	}
	if a.status == http.StatusNotModified {
		return nil, since, nil
	}
	if a.status != http.StatusOK {
		return nil, "", a.statusError("list", "hosts", clementineturn.KindUnavailable)
	}
	list, err := DecodeHosts(a.body)
	if err != nil {
		return nil, "", clementineturn.Errorf(clementineturn.KindUnavailable, "list of hosts: %w", err)
	}
	return list, a.version, nil
}

// DecodeHosts decodes the JSON form of the list of hosts. Unknown fields are
// ignored, so that the platform may add some.
func DecodeHosts(data []byte) ([]*clemwire.Host, error) {
	var list hostList
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, err
	}
	options := protojson.UnmarshalOptions{DiscardUnknown: true}
	found := make([]*clemwire.Host, len(list.Hosts))
	for i, raw := range list.Hosts {
		found[i] = &clemwire.Host{}
		if err := options.Unmarshal(raw, found[i]); err != nil {
			return nil, err
		}
	}
	return found, nil
}

// EncodeHosts encodes the list of hosts as JSON.
func EncodeHosts(hosts []*clemwire.Host) ([]byte, error) {
	list := hostList{Hosts: make([]json.RawMessage, len(hosts))}
	for i, host := range hosts {
		raw, err := protojson.Marshal(host)
		if err != nil {
			return nil, err
		}
		list.Hosts[i] = raw
	}
	return json.Marshal(list)
}
