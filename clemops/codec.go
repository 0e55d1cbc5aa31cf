package clemops

import (
	"errors"
	"fmt"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// strictJSON is the JSON codec of the operators' interface. Unlike Connect's own
// codec it refuses unknown fields: a misspelt field would otherwise count as
// absent, and an update would reset it.
type strictJSON struct{}

var _ connect.Codec = strictJSON{}

// Name implements connect.Codec.
func (strictJSON) Name() string { return "json" }

// Marshal implements connect.Codec.
func (strictJSON) Marshal(value any) ([]byte, error) {
	message, ok := value.(proto.Message)
	if !ok {
		return nil, fmt.Errorf("%T is no protobuf message", value)
	}
	return protojson.Marshal(message)
}

// Unmarshal implements connect.Codec.
func (strictJSON) Unmarshal(data []byte, value any) error {
	message, ok := value.(proto.Message)
	if !ok {
		return fmt.Errorf("%T is no protobuf message", value)
	}
	if len(data) == 0 {
		return errors.New("found nothing, a JSON object is needed")
	}
	return protojson.Unmarshal(data, message)
}
