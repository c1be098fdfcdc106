package messenger

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"

	"github.com/sourcegraph/jsonrpc2"
)

// maxMessageBytes bounds one message of a peer; the largest are compressed objects of the store, with up to 1 MB of rules.
const maxMessageBytes = 16 << 20

// MessageTooLongError means that a peer announced a message that is over the limit; its connection is closed.
type MessageTooLongError struct {
	Bytes uint64
	Limit int64
}

// Error returns the message with the announced size.
func (e *MessageTooLongError) Error() string {
	return fmt.Sprintf("a peer announced a message of %d bytes, the limit is %d", e.Bytes, e.Limit)
}

// boundedCodec limits the size of received messages. The varint codec of the library has the shortest frame header of its codecs, but
// no limit.
type boundedCodec struct {
	jsonrpc2.VarintObjectCodec
	// accepted is the connection if a peer has opened it; nil if this instance has.
	accepted *Accepted
}

// ReadObject reads one message; it fails with a MessageTooLongError before it reads one that is too long.
func (b boundedCodec) ReadObject(stream *bufio.Reader, v any) error {
	size, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if size > maxMessageBytes {
		return &MessageTooLongError{
			Bytes: size,
			Limit: maxMessageBytes,
		}
	}
	if b.accepted != nil {
		end, err := b.accepted.begin(size)
		if err != nil {
			return err
		}
		defer end()
	}
	return json.NewDecoder(io.LimitReader(stream, int64(size))).Decode(v)
}
