package runner

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

const (
	maxBodyBytes = 64 << 20
	writeTimeout = time.Minute
	// shutdownTimeout is short because clients keep idle connections open, which a shutdown waits for.
	shutdownTimeout = 100 * time.Millisecond
	slowReadBytes   = 4 << 10
	slowReadDelay   = 50 * time.Millisecond
)

// Server is an HTTP server with its listener.
type Server struct {
	*server.Hertz
	listener *listener
}

// Listen listens on the address; port 0 chooses a free port.
func Listen(address string) (*Server, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &listener{
		Listener: inner,
	}
	hlog.SetLevel(hlog.LevelFatal)
	// The standard transport accepts a wrapped listener; the default one needs a file descriptor.
	h := server.New(
		server.WithListener(l),
		server.WithTransport(standard.NewTransporter),
		server.WithSenseClientDisconnection(true),
		server.WithMaxRequestBodySize(maxBodyBytes),
		server.WithWriteTimeout(writeTimeout),
		server.WithExitWaitTime(shutdownTimeout),
		server.WithDisablePrintRoute(true),
	)
	return &Server{
		Hertz:    h,
		listener: l,
	}, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// SetSlowReads switches slow reads on or off: at most slowReadBytes at a time, after a delay of slowReadDelay.
func (s *Server) SetSlowReads(slow bool) {
	s.listener.slow.Store(slow)
}

// Serve prints the address in one line to stdout and serves until SIGINT, SIGTERM or the end of ctx.
func (s *Server) Serve(ctx context.Context, stdout io.Writer) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	runError := make(chan error, 1)
	go func() {
		runError <- s.Run()
	}()
	if _, err := fmt.Fprintln(stdout, s.Address()); err != nil {
		return err
	}
	select {
	case err := <-runError:
		return err
	case <-ctx.Done():
	}
	shutdownContext, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = s.Shutdown(shutdownContext) // it times out if streams are open; they end with the process
	return nil
}

// Respond writes the value as JSON.
func Respond(c *app.RequestContext, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		c.String(500, err.Error())
		return
	}
	c.Data(status, "application/json", body)
}

// RespondError writes {"error": message}.
func RespondError(c *app.RequestContext, status int, message string) {
	Respond(c, status, map[string]string{
		"error": message,
	})
}

// Drop makes the server close the connection without a response, or without the rest of one, when the handler returns.
func Drop(c *app.RequestContext) {
	// If a response fails to be written, hertz releases the connection's read buffer while its watch for a
	// disconnected client still reads into it. A response that writes nothing cannot fail.
	c.Response.HijackWriter(discard{})
	c.SetConnectionClose()
}

// discard is a response writer that sends nothing.
type discard struct{}

// Write drops the bytes.
func (discard) Write(p []byte) (int, error) {
	return len(p), nil
}

// Flush does nothing.
func (discard) Flush() error {
	return nil
}

//nolint:misspell,revive // the library's interface prescribes the name
func (discard) Finalize() error {
	return nil
}

type listener struct {
	net.Listener
	slow atomic.Bool
}

// Accept returns the next connection; its reads are slow while slow reads are switched on.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{
		Conn: inner,
		slow: &l.slow,
	}, nil
}

type conn struct {
	net.Conn
	slow *atomic.Bool
}

// Read reads from the connection, slowly while slow reads are switched on.
func (c *conn) Read(p []byte) (int, error) {
	if c.slow.Load() {
		time.Sleep(slowReadDelay)
		p = p[:min(len(p), slowReadBytes)]
	}
	return c.Conn.Read(p)
}
