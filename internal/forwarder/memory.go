package forwarder

import (
	"errors"
	"io"
	"sync/atomic"
)

// minBufferBytes is the initial size of a buffer.
const minBufferBytes = 1 << 10

// uncountedBytes is how much of each answer isn't taken from the shared memory, so that short answers pass while others have taken all.
const uncountedBytes = 64 << 10

// ErrNoMemory means that the answers of a process hold as much memory as they may together.
var ErrNoMemory = errors.New("the answers that this instance holds have taken all the memory for them")

// ErrAnswerTooLong means that an answer exceeds the longest that is buffered.
var ErrAnswerTooLong = errors.New("the answer is too long to be buffered")

// Memory bounds the bytes that the answers of a process hold together: of answers that are read and of answers that callers read slowly.
// A nil Memory has no bound.
type Memory struct {
	free atomic.Int64
}

// NewMemory returns a memory of the given number of bytes.
func NewMemory(bytes int64) *Memory {
	m := &Memory{}
	m.free.Store(bytes)
	return m
}

// Free returns the number of bytes that are not taken.
func (m *Memory) Free() int64 {
	return m.free.Load()
}

// Buffer is the memory of one answer.
type Buffer struct {
	memory *Memory
	bytes  []byte
	taken  int64
}

// NewBuffer returns an empty buffer, whose owner must call Release.
func (m *Memory) NewBuffer() *Buffer {
	return &Buffer{
		memory: m,
	}
}

// Bytes returns the content, which is valid until the buffer is released.
func (b *Buffer) Bytes() []byte {
	return b.bytes
}

// Release gives the memory back.
func (b *Buffer) Release() {
	if b.memory != nil {
		b.memory.free.Add(b.taken)
	}
	b.taken = 0
	b.bytes = nil
}

// reset empties the buffer; it keeps memory that isn't taken from the shared one.
func (b *Buffer) reset() {
	if b.taken > 0 {
		b.Release()
		return
	}
	b.bytes = b.bytes[:0]
}

// Append adds bytes; it fails with ErrNoMemory.
func (b *Buffer) Append(p []byte) error {
	if err := b.grow(len(p)); err != nil {
		return err
	}
	b.bytes = append(b.bytes, p...)
	return nil
}

// ReadAll adds everything up to the end of the reader. It fails with the reader's error, with ErrAnswerTooLong beyond the limit in bytes,
// and with ErrNoMemory.
func (b *Buffer) ReadAll(reader io.Reader, limit int) error {
	for {
		if err := b.grow(1); err != nil {
			return err
		}
		n, err := reader.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		switch {
		case len(b.bytes) > limit:
			return ErrAnswerTooLong
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// grow makes room for at least n more bytes.
func (b *Buffer) grow(n int) error {
	if len(b.bytes)+n <= cap(b.bytes) {
		return nil
	}
	size := max(len(b.bytes)+n, 2*cap(b.bytes), minBufferBytes)
	if err := b.take(int64(max(0, size-uncountedBytes))); err != nil {
		return err
	}
	grown := make([]byte, len(b.bytes), size)
	copy(grown, b.bytes)
	b.bytes = grown
	return nil
}

// take makes the buffer hold the given number of bytes of the shared memory.
func (b *Buffer) take(bytes int64) error {
	if b.memory == nil || bytes <= b.taken {
		return nil
	}
	if b.memory.free.Add(b.taken-bytes) < 0 {
		b.memory.free.Add(bytes - b.taken)
		return ErrNoMemory
	}
	b.taken = bytes
	return nil
}
