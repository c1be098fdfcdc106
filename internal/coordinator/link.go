package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"bergamothollow.example/bergamothollow/internal/messenger"
)

const (
	// linkQueue bounds the messages that wait for a peer; one that does not read is cut off.
	linkQueue = 2048
	// linkWriteTimeout bounds the time that a peer may take nothing.
	linkWriteTimeout = 2 * time.Second
	// joinTimeout bounds the time to open a connection to a leader and to be accepted: both take one round trip.
	joinTimeout = 400 * time.Millisecond
)

// link is a connection to a peer. The control goroutine hands messages to its sender and never waits for the peer.
type link struct {
	conn *jsonrpc2.Conn
	out  chan func() error
	once sync.Once
	gone chan struct{}
	// member describes a follower; it is empty before the peer has joined and for a leader.
	member Member
	ready  bool
	// place is the follower's in line; fed is set once it has been sent all objects.
	place int
	fed   bool
	// reads is set while the follower says that the store answers it.
	reads bool
	seen  time.Time
}

// inbound is a message of a peer for the control goroutine.
type inbound struct {
	link   *link
	method string
	params json.RawMessage
	// answer is set for requests.
	answer func(any)
}

// unlinked reports that a connection to a peer has ended.
type unlinked struct {
	link *link
}

func (inbound) message()  {}
func (unlinked) message() {}

// openLink runs a connection; its messages go to the control goroutine in order.
func (c *Coordinator) openLink(ctx context.Context, raw net.Conn) *link {
	l := &link{
		out:  make(chan func() error, linkQueue),
		gone: make(chan struct{}),
	}
	handler := func(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
		m := inbound{
			link:   l,
			method: request.Method,
		}
		if request.Params != nil {
			m.params = *request.Params
		}
		if !request.Notif {
			id := request.ID
			m.answer = func(v any) {
				l.send(func() error { return conn.Reply(ctx, id, v) })
			}
		}
		c.send(ctx, m)
	}
	l.conn = jsonrpc2.NewConn(
		ctx,
		messenger.NewStream(deadlineConn{Conn: raw}, c.options.Traffic),
		handlerFunc(handler),
		jsonrpc2.SetLogger(messenger.Discard{}),
	)
	go l.write()
	go func() {
		<-l.conn.DisconnectNotify()
		l.close()
		c.send(ctx, unlinked{
			link: l,
		})
	}()
	return l
}

type handlerFunc func(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request)

// Handle passes a request on.
func (f handlerFunc) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	f(ctx, conn, request)
}

// deadlineConn gives up on a peer that takes nothing.
type deadlineConn struct {
	net.Conn
}

// Write writes within the timeout.
func (d deadlineConn) Write(p []byte) (int, error) {
	if err := d.SetWriteDeadline(time.Now().Add(linkWriteTimeout)); err != nil {
		return 0, err
	}
	return d.Conn.Write(p)
}

func (l *link) write() {
	for {
		select {
		case <-l.gone:
			return
		case send := <-l.out:
			if send() != nil {
				l.close()
				return
			}
		}
	}
}

// send queues a message; a full queue ends the link.
func (l *link) send(message func() error) {
	select {
	case l.out <- message:
	default:
		l.close()
	}
}

// notify queues a notification.
func (l *link) notify(method string, params any) {
	l.send(func() error {
		return l.conn.Notify(context.Background(), method, params)
	})
}

func (l *link) close() {
	l.once.Do(func() {
		close(l.gone)
		// The error says that the connection is closed already.
		_ = l.conn.Close()
	})
}

// accept serves peers until the listener is closed.
func (c *Coordinator) accept(ctx context.Context) {
	for {
		raw, err := c.options.Peers.Accept()
		if err != nil {
			if ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
				c.options.Log.Error().Err(err).Msg("coordinator: peers not accepted")
			}
			return
		}
		c.openLink(ctx, raw)
	}
}

// joined is the outcome of asking a peer to be followed.
type joined struct {
	peer   peerAddress
	link   *link
	answer joinAnswer
	err    error
}

func (joined) message() {}

// join asks a peer; the outcome comes as a message.
func (c *Coordinator) join(ctx context.Context, peer peerAddress) {
	result := joined{
		peer: peer,
	}
	dialer := net.Dialer{
		Timeout: joinTimeout,
	}
	raw, err := dialer.DialContext(ctx, "tcp", peer.Address)
	if err != nil {
		result.err = err
		c.send(ctx, result)
		return
	}
	l := c.openLink(ctx, raw)
	limited, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	result.err = l.conn.Call(limited, methodJoin, joinRequest{
		Member: c.options.Self,
		Known:  c.View().Rules != nil,
	}, &result.answer)
	result.link = l
	if result.err != nil || !result.answer.Accepted {
		l.close()
	}
	c.send(ctx, result)
}
