package clemrpc

import "google.golang.org/protobuf/proto"

// reply moves a result into the message that net/rpc provides.
func reply(to, from proto.Message, err error) error {
	if err != nil {
		return encodeError(err)
	}
	proto.Merge(to, from)
	return nil
}
