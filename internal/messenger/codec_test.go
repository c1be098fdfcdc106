package messenger

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/sourcegraph/jsonrpc2"
)

// socketBuffer is more than a buffered reader reads ahead.
const socketBuffer = 64 << 10

// repeated is an endless stream of one byte that counts the bytes read.
type repeated struct {
	value byte
	read  int
}

func (r *repeated) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = r.value
	}
	r.read += len(p)
	return len(p), nil
}

// Guards against memory that grows without bound while a peer sends a message without end, and against sizes that overflow.
func TestEndlessMessage(t *testing.T) {
	for _, size := range []uint64{maxMessageBytes + 1, 1 << 40, 1<<63 + 1} {
		header := binary.AppendUvarint(nil, size)
		source := &repeated{value: '['}
		stream := bufio.NewReader(io.MultiReader(bytes.NewReader(header), source))
		var message jsonrpc2.Request
		err := boundedCodec{}.ReadObject(stream, &message)
		var long *MessageTooLongError
		if !errors.As(err, &long) || long.Bytes != size {
			t.Errorf("%d bytes: got %v", size, err)
		}
		if source.read > socketBuffer {
			t.Errorf("%d bytes: %d bytes of the message were read", size, source.read)
		}
	}
}

// Guards against a size without end, and a message that goes on after its announced size.
func TestMalformedMessages(t *testing.T) {
	var message jsonrpc2.Request
	endless := &repeated{value: 0xff}
	if err := (boundedCodec{}).ReadObject(bufio.NewReader(endless), &message); err == nil {
		t.Error("a size without end was accepted")
	}
	if endless.read > 1<<20 {
		t.Errorf("%d bytes of a size were read", endless.read)
	}
	body := `{"method":"ping","params":{},"jsonrpc":"2.0"}`
	frame := string(binary.AppendUvarint(nil, uint64(len(body)-1))) + body
	if err := (boundedCodec{}).ReadObject(bufio.NewReader(strings.NewReader(frame)), &message); err == nil {
		t.Error("a message that is longer than announced was accepted")
	}
}

// FuzzReadObject guards against a peer's bytes that end the process; whatever is accepted must be JSON of the announced size.
func FuzzReadObject(f *testing.F) {
	body := `{"method":"ping","params":{"ready":true},"jsonrpc":"2.0"}`
	f.Add(append(binary.AppendUvarint(nil, uint64(len(body))), body...))
	f.Add([]byte{0xff, 0xff, 0xff})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		var message json.RawMessage
		err := boundedCodec{}.ReadObject(bufio.NewReader(strings.NewReader(string(data))), &message)
		if err == nil && len(message) > len(data) {
			t.Errorf("%d bytes were decoded from %d", len(message), len(data))
		}
	})
}
