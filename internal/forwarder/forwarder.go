package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"bergamothollow.example/bergamothollow/pkg/headreader"
)

const (
	// dialTimeout bounds the TCP handshake with a target: it takes some milliseconds, and a lost SYN is retransmitted only after
	// a second.
	dialTimeout = 700 * time.Millisecond
	// readBuffer is the buffer size in bytes; it fits an answer's header and several events.
	readBuffer = 4 << 10
	// maxHeadBytes bounds the header of an answer, with those of the informational answers before it.
	maxHeadBytes = 64 << 10
	// maxInformational bounds the 1xx responses before the final one.
	maxInformational = 5
	// keepAliveIdle, keepAliveInterval and keepAliveCount make TCP keep-alive detect a dead connection within about 3 s.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 4
)

// Outgoing is one request to a target.
type Outgoing struct {
	Address string
	Method  string
	// URI is the request target as the caller sent it.
	URI    string
	Host   string
	Header []Field
	Body   []byte
	// HasBody makes Send set Content-Length, also for an empty body.
	HasBody bool
	// NoKeepAlive disables keep-alive probes, so that a request that must not be repeated is not aborted when probes fail.
	NoKeepAlive bool
}

// Answer is the response of a target; the caller must call Close.
type Answer struct {
	Status int
	Header http.Header
	// Early is the header of the informational answers before the final one; nil if there were none.
	Early http.Header
	// Body returns an error other than io.EOF if the answer is incomplete.
	Body io.Reader
	conn net.Conn
	stop func() bool
}

// SendError means that the target sent no valid response header.
type SendError struct {
	Address string
	// Sent is set if the target may have received the request.
	Sent  bool
	Cause error
}

// Error returns the message with the target's address.
func (e *SendError) Error() string {
	return fmt.Sprintf("no answer from target %s (sent: %t): %v", e.Address, e.Sent, e.Cause)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error {
	return e.Cause
}

// Send sends the request once and waits for the header of the answer. When the context ends, it closes the connection, so that the
// target cancels the request. It fails with a SendError.
func Send(ctx context.Context, o Outgoing) (*Answer, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   !o.NoKeepAlive,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
	conn, err := dialer.DialContext(ctx, "tcp", o.Address)
	if err != nil {
		return nil, &SendError{
			Address: o.Address,
			Cause:   err,
		}
	}
	a := &Answer{
		conn: conn,
	}
	written := make(chan error, 1)
	a.stop = context.AfterFunc(ctx, func() {
		_ = conn.Close()
	})
	head := o.head()
	// A target may answer before it has read a long body, so the response is read concurrently with the write.
	go func() {
		buffers := net.Buffers{head, o.Body}
		_, err := buffers.WriteTo(conn)
		written <- err
	}()
	limited := &headReader{
		reader: conn,
		left:   maxHeadBytes,
	}
	response, early, err := readResponse(bufio.NewReaderSize(limited, readBuffer), o.Method) //nolint:bodyclose // Answer.Close closes the connection
	limited.unlimited = true
	if err != nil {
		a.Close()
		return nil, &SendError{
			Address: o.Address,
			Sent:    true,
			Cause:   err,
		}
	}
	a.Status = response.StatusCode
	a.Header = response.Header
	a.Early = early
	a.Body = response.Body
	if headreader.Delimited(response) {
		a.Body = &delimitedBody{
			body:    response.Body,
			conn:    conn,
			success: response.StatusCode < http.StatusMultipleChoices,
			written: written,
		}
	}
	return a, nil
}

// headReader limits the bytes read until unlimited is set: the standard library doesn't limit the header of a response.
type headReader struct {
	reader    io.Reader
	left      int
	unlimited bool
}

// Read fails with errHeadTooLong once the limit is reached.
func (h *headReader) Read(p []byte) (int, error) {
	if h.unlimited {
		return h.reader.Read(p)
	}
	if h.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := h.reader.Read(p[:min(len(p), h.left)])
	h.left -= n
	return n, err
}

var errHeadTooLong = fmt.Errorf("the header of the answer is longer than %d bytes", maxHeadBytes)

// head returns the encoded request line and header.
func (o *Outgoing) head() []byte {
	var b bytes.Buffer
	b.WriteString(o.Method)
	b.WriteByte(' ')
	b.WriteString(o.URI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(o.Host)
	b.WriteString("\r\n")
	for _, f := range o.Header {
		b.WriteString(f.Name)
		b.WriteString(": ")
		b.WriteString(f.Value)
		b.WriteString("\r\n")
	}
	if o.HasBody {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(o.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("Connection: close\r\n\r\n")
	return b.Bytes()
}

// readResponse reads the header of the final response, and those of the informational ones before it as one.
func readResponse(reader *bufio.Reader, method string) (response *http.Response, early http.Header, err error) {
	for range maxInformational {
		response, err := headreader.Read(reader, method)
		if err != nil {
			return nil, nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, early, nil
		}
		if early == nil {
			early = http.Header{}
		}
		for name, values := range response.Header {
			early[name] = append(early[name], values...)
		}
	}
	return nil, nil, errInformational
}

var errInformational = fmt.Errorf("more than %d informational answers", maxInformational)

// Close closes the connection; the target cancels the request if it is still running.
func (a *Answer) Close() {
	a.stop()
	_ = a.conn.Close()
}
