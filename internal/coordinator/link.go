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
	// linkQueue is the maximum number of messages queued for a peer; the connection to a peer that exceeds it is closed.
	linkQueue = 2048
	// linkWriteTimeout is the timeout of a single write to a peer.
	linkWriteTimeout = 2 * time.Second
	// dialTimeout limits the time to connect to a peer, which takes its kernel one round trip; a machine that has lost power is silent.
	dialTimeout = 150 * time.Millisecond
	// joinTimeout limits the time until a leader accepts this instance; it may be busy.
	joinTimeout = 400 * time.Millisecond
)

// link is a connection to a peer. The control goroutine queues messages for the link's sender goroutine and never blocks on
// the peer.
type link struct {
	conn *jsonrpc2.Conn
	// accepted is the connection if the peer has opened it through a gate; nil if this instance has.
	accepted  *messenger.Accepted
	sendQueue chan func() error
	once      sync.Once
	closed    chan struct{}
	// member is the follower at the other end; it is empty before the peer has joined, and for a leader.
	member Member
	ready  bool
	// rank is the follower's rank in the succession, lineLength if it isn't among the first; hasSnapshot is set once it has been
	// sent all objects, hasMembers once it has been sent the current members.
	rank        int
	hasSnapshot bool
	hasMembers  bool
	// listedAt is when callers were first told to use the follower; it is zero while they aren't.
	listedAt time.Time
	// counts is set once the follower has sent counts of requests.
	counts bool
	// ahead is by how much the clock of the peer is ahead of this instance's; hasClock is set once it is known.
	ahead    time.Duration
	hasClock bool
	// readsStore is set while the follower reports that it reads from the store successfully.
	readsStore bool
	// used is the processor capacity that the follower uses, in cores.
	used     float64
	lastSeen time.Time
}

// peerMessage is a message of a peer, to be handled by the control goroutine.
type peerMessage struct {
	link   *link
	method string
	params json.RawMessage
	// answer sends the response; it is nil for notifications.
	answer func(any)
}

// linkClosed reports that the connection to a peer was closed.
type linkClosed struct {
	link *link
}

func (peerMessage) message() {}
func (linkClosed) message()  {}

// openLink serves a connection and passes its messages to the control goroutine in order.
func (c *Coordinator) openLink(ctx context.Context, raw net.Conn) *link {
	l := &link{
		sendQueue: make(chan func() error, linkQueue),
		closed:    make(chan struct{}),
	}
	l.accepted, _ = raw.(*messenger.Accepted)
	handler := func(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
		m := peerMessage{
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
		messenger.NewStream(deadlineConn{Conn: raw}, c.options.Traffic, l.accepted),
		handlerFunc(handler),
		jsonrpc2.SetLogger(messenger.DiscardLogger{}),
	)
	go l.write()
	go func() {
		<-l.conn.DisconnectNotify()
		l.close()
		c.send(ctx, linkClosed{
			link: l,
		})
	}()
	return l
}

type handlerFunc func(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request)

// Handle calls the function.
func (f handlerFunc) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	f(ctx, conn, request)
}

// deadlineConn sets a deadline for each write, to detect peers that have stopped reading.
type deadlineConn struct {
	net.Conn
}

// Write writes p or fails after linkWriteTimeout.
func (d deadlineConn) Write(p []byte) (int, error) {
	if err := d.SetWriteDeadline(time.Now().Add(linkWriteTimeout)); err != nil {
		return 0, err
	}
	return d.Conn.Write(p)
}

func (l *link) write() {
	for {
		select {
		case <-l.closed:
			return
		case send := <-l.sendQueue:
			if send() != nil {
				l.close()
				return
			}
		}
	}
}

// send queues a message; it closes the link if the queue is full.
func (l *link) send(message func() error) {
	select {
	case l.sendQueue <- message:
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
		close(l.closed)
		// Close only fails if the connection is already closed.
		_ = l.conn.Close()
	})
}

// accept accepts connections of peers until the listener is closed.
func (c *Coordinator) accept(ctx context.Context) {
	for {
		raw, err := c.options.PeerListener.Accept()
		if err != nil {
			if ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
				c.options.Log.Error().Err(err).Msg("coordinator: failed to accept connections of peers")
			}
			return
		}
		c.openLink(ctx, raw)
	}
}

// joinResult is the result of a request to join a peer.
type joinResult struct {
	peer   peerAddress
	link   *link
	answer joinAnswer
	err    error
}

func (joinResult) message() {}

// join asks a peer to accept this instance as a follower and sends a joinResult to the control goroutine.
func (c *Coordinator) join(ctx context.Context, peer peerAddress) {
	result := joinResult{
		peer: peer,
	}
	dialer := net.Dialer{
		Timeout: dialTimeout,
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
	}, &result.answer)
	result.link = l
	if result.err != nil || !result.answer.Accepted {
		l.close()
	}
	c.send(ctx, result)
}
