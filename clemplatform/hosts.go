package clemplatform

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"

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
	list, err := DecodeHosts(a.body, h.onInvalidHost)
	if err != nil {
		return nil, "", clementineturn.Errorf(clementineturn.KindUnavailable, "list of hosts: %w", err)
	}
	return list, a.version, nil
}

// DecodeHosts decodes the JSON form of the list of hosts. Unknown fields are
// ignored, so that the platform may add some. A host that does not decode is left out
// and passed to onInvalid, which may be nil, as a KindInvalid error that names the
// field.
func DecodeHosts(data []byte, onInvalid func(error)) ([]*clemwire.Host, error) {
	raw, err := splitHosts(data)
	if err != nil {
		return nil, err
	}
	found := make([]*clemwire.Host, 0, len(raw))
	for i, text := range raw {
		host, err := decodeHost("hosts."+strconv.Itoa(i), text)
		if err == nil {
			found = append(found, host)
			continue
		}
		if onInvalid != nil {
			onInvalid(err)
		}
	}
	return found, nil
}

func decodeHost(field string, data []byte) (*clemwire.Host, error) {
	host := &clemwire.Host{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(data, host); err != nil {
		return nil, clementineturn.Invalid(field, "%w", err)
	}
	if host.GetName() == "" {
		return nil, clementineturn.Invalid(field+".name", "is missing")
	}
	if err := checkAddress(host.GetAddress()); err != nil {
		return nil, clementineturn.Invalid(field+".address", "%w", err)
	}
	if err := checkAddress(host.GetAdmin()); err != nil {
		return nil, clementineturn.Invalid(field+".admin", "%w", err)
	}
	return host, nil
}

// checkAddress checks the port of an address, unless the address is empty.
func checkAddress(address string) error {
	if address == "" {
		return nil
	}
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil || number == 0 {
		return fmt.Errorf("%.20q is no port", port)
	}
	return nil
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
