package forwarder

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEventBytes bounds one event of a stream; the targets' events have up to a few hundred bytes.
const maxEventBytes = 1 << 20

// ErrEventTooLong means that an event exceeds 1 MiB.
var ErrEventTooLong = errors.New("an event of the stream is longer than 1 MiB")

// Event is a complete server-sent event.
type Event struct {
	// Raw holds the event's bytes, including the blank line at its end; it is valid until the next event is read.
	Raw []byte
	// ID is empty if the event has none.
	ID string
}

// Events splits a stream of server-sent events.
type Events struct {
	reader *bufio.Reader
	// buffer holds the current event.
	buffer *Buffer
}

// NewEvents returns a reader of the events in an answer's body, which hold a part of the memory until Release is called.
func NewEvents(body io.Reader, memory *Memory) *Events {
	return &Events{
		reader: bufio.NewReaderSize(body, readBuffer),
		buffer: memory.NewBuffer(),
	}
}

// Release gives back the memory of the last event.
func (e *Events) Release() {
	e.buffer.Release()
}

// Next returns the next event. It fails with io.EOF after the last, io.ErrUnexpectedEOF if the stream ends within an event,
// ErrEventTooLong, and ErrNoMemory.
func (e *Events) Next() (Event, error) {
	e.buffer.reset()
	id := ""
	for {
		line, err := e.reader.ReadSlice('\n')
		if err := e.buffer.Append(line); err != nil {
			return Event{}, err
		}
		length := len(e.buffer.Bytes())
		if errors.Is(err, bufio.ErrBufferFull) {
			if length < maxEventBytes {
				continue
			}
			return Event{}, ErrEventTooLong
		}
		if errors.Is(err, io.EOF) && length > 0 {
			return Event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return Event{}, err
		}
		trimmed := bytes.TrimRight(line, "\r\n")
		if len(trimmed) == 0 && length > len(line) {
			return Event{
				Raw: e.buffer.Bytes(),
				ID:  id,
			}, nil
		}
		if text, found := bytes.CutPrefix(trimmed, []byte("id:")); found {
			id = string(bytes.TrimSpace(text))
		}
		if length > maxEventBytes {
			return Event{}, ErrEventTooLong
		}
	}
}
