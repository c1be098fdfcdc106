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
)

const (
	// dialTimeout bounds the time to open a connection to a target: a handshake takes some milliseconds, and a
	// dropped opening packet is sent again after a second.
	dialTimeout = 700 * time.Millisecond
	// readBuffer holds an answer's header and several events, in bytes.
	readBuffer = 4 << 10
	// maxInformational bounds the 1xx answers before the final one.
	maxInformational = 5
	// keepAliveIdle, keepAliveInterval and keepAliveCount find a connection that has gone silent within about 3 s.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 4
)

// Outgoing is one request to a target.
type Outgoing struct {
	Address string
	Method  string
	// URI is the request line's target as the caller sent it.
	URI    string
	Host   string
	Header []Field
	Body   []byte
	// HasBody is set when the request has a body, even an empty one.
	HasBody bool
	// KeepSilent requests are not given up when their connection stops answering probes: they may not be repeated.
	KeepSilent bool
}

// Answer is the response of a target; Close must be called.
type Answer struct {
	Status int
	Header http.Header
	// Body fails with an error other than io.EOF if the answer is not whole.
	Body io.Reader
	conn net.Conn
	stop func() bool
	// written receives the outcome of writing the request.
	written chan error
}

// SendError means that no answer came.
type SendError struct {
	Address string
	// Sent tells whether the target may have received the request.
	Sent  bool
	Cause error
}

// Error names the target.
func (e *SendError) Error() string {
	return fmt.Sprintf("no answer from target %s (sent: %t): %v", e.Address, e.Sent, e.Cause)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error {
	return e.Cause
}

// Send sends the request once and waits for the header of the answer; when the context ends, the connection is closed,
// which makes the target drop the request. It fails with a SendError.
func Send(ctx context.Context, o Outgoing) (*Answer, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   !o.KeepSilent,
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
		conn:    conn,
		written: make(chan error, 1),
	}
	a.stop = context.AfterFunc(ctx, func() {
		_ = conn.Close()
	})
	head := o.head()
	// A target may answer before it has read a long body, so that writing must not hold up reading.
	go func() {
		buffers := net.Buffers{head, o.Body}
		_, err := buffers.WriteTo(conn)
		a.written <- err
	}()
	response, err := readResponse(bufio.NewReaderSize(conn, readBuffer), o.Method) //nolint:bodyclose // Answer.Close closes the connection
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
	a.Body = response.Body
	return a, nil
}

// head writes the request line and the header.
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

// readResponse reads the final answer's header.
func readResponse(reader *bufio.Reader, method string) (*http.Response, error) {
	request := &http.Request{
		Method: method,
	}
	for range maxInformational {
		response, err := http.ReadResponse(reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
	}
	return nil, errInformational
}

var errInformational = fmt.Errorf("more than %d informational answers", maxInformational)

// Close closes the connection; a request that the target still works on is dropped there.
func (a *Answer) Close() {
	a.stop()
	_ = a.conn.Close()
}
