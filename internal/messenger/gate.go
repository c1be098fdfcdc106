package messenger

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"bergamothollow.example/bergamothollow/pkg/timer"
)

const (
	// strangerMessageBytes bounds the messages of a peer that hasn't joined; a request to join takes less than 1 KiB.
	strangerMessageBytes = 16 << 10
	// messageTime bounds the time in which an announced message must arrive.
	messageTime = 10 * time.Second
	// inboxShare and peerShare divide the memory of a process: what messages that are being received, and peers' connections, may take.
	inboxShare = 16
	peerShare  = 16
	// peerBytes is about what the connection of a peer takes in queues, buffers and goroutines.
	peerBytes = 32 << 10
	// peerDescriptors divides the descriptors of a process to get those for peers.
	peerDescriptors = 5
	// minPeers is the least bound of peers' connections.
	minPeers = 16
	// acceptPause is the pause after a connection couldn't be accepted, for which a descriptor may be missing.
	acceptPause = 20 * time.Millisecond
)

// GateSettings say what a process has, and what its peers must do first.
type GateSettings struct {
	MemoryBytes int64
	Descriptors int
	// Join is set if peers must join before they send more.
	Join  bool
	Clock timer.Clock
	// OnRefuse is called for each connection that is closed, with the reason; it may be nil.
	OnRefuse func(reason string)
}

// The reasons for which a gate closes connections.
const (
	SilentPeer    = "silent_peer"
	LongMessage   = "long_message"
	InboxFull     = "inbox_full"
	StrangePeer   = "stranger"
	AcceptFailure = "peer_accept_failed"
)

// Gate bounds the connections of peers, and the memory of the messages that they send.
type Gate struct {
	settings GateSettings
	most     int
	inbox    int64
	held     atomic.Int64

	mu    sync.Mutex
	peers map[*Accepted]struct{}
}

// NewGate returns a gate without connections.
func NewGate(s GateSettings) *Gate {
	return &Gate{
		settings: s,
		most:     max(minPeers, int(min(s.MemoryBytes/peerShare/peerBytes, int64(s.Descriptors/peerDescriptors)))),
		inbox:    s.MemoryBytes / inboxShare,
		peers:    map[*Accepted]struct{}{},
	}
}

func (g *Gate) refuse(reason string) {
	if g.settings.OnRefuse != nil {
		g.settings.OnRefuse(reason)
	}
}

// Listen returns a listener whose connections the gate bounds.
func (g *Gate) Listen(inner net.Listener) net.Listener {
	return &gateListener{
		Listener: inner,
		gate:     g,
	}
}

type gateListener struct {
	net.Listener
	gate *Gate
}

// Accept waits for the next connection; a lack of descriptors doesn't end the listener.
func (l *gateListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS) ||
			errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.ECONNABORTED) {
			l.gate.refuse(AcceptFailure)
			<-l.gate.settings.Clock.After(acceptPause)
			continue
		}
		if err != nil {
			return nil, err
		}
		return l.gate.add(conn), nil
	}
}

// add adds a connection; the one that has been silent for the longest time is closed if there are too many.
func (g *Gate) add(conn net.Conn) *Accepted {
	a := &Accepted{
		Conn: conn,
		gate: g,
	}
	a.heard.Store(g.settings.Clock.Now().UnixNano())
	a.most.Store(maxMessageBytes)
	if g.settings.Join {
		a.most.Store(strangerMessageBytes)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.peers) >= g.most {
		var silent *Accepted
		for p := range g.peers {
			if silent == nil || p.heard.Load() < silent.heard.Load() {
				silent = p
			}
		}
		g.refuse(SilentPeer)
		delete(g.peers, silent)
		_ = silent.Conn.Close() // the connection may already be closed
	}
	g.peers[a] = struct{}{}
	return a
}

// Accepted is a connection that a peer has opened.
type Accepted struct {
	net.Conn
	gate *Gate
	// heard is when bytes were last read, in Unix nanoseconds; most bounds the bytes of a message.
	heard atomic.Int64
	most  atomic.Int64
}

// Trust allows messages of any size that peers send.
func (a *Accepted) Trust() {
	a.most.Store(maxMessageBytes)
}

// Expel closes the connection of a peer that doesn't behave like one.
func (a *Accepted) Expel() {
	a.gate.refuse(StrangePeer)
	_ = a.Close() // the connection may already be closed
}

// Read reads bytes of messages.
func (a *Accepted) Read(p []byte) (int, error) {
	n, err := a.Conn.Read(p)
	if n > 0 {
		a.heard.Store(a.gate.settings.Clock.Now().UnixNano())
	}
	return n, err
}

// Close closes the connection.
func (a *Accepted) Close() error {
	a.gate.mu.Lock()
	delete(a.gate.peers, a)
	a.gate.mu.Unlock()
	return a.Conn.Close()
}

// InboxFullError means that the messages which are being received take all memory for them.
type InboxFullError struct {
	Bytes uint64
}

// Error returns the message with the announced size.
func (e *InboxFullError) Error() string {
	return fmt.Sprintf("a peer announced a message of %d bytes while others take all memory for messages", e.Bytes)
}

// begin takes the memory of a message before it is read; end must be called after it.
func (a *Accepted) begin(size uint64) (end func(), err error) {
	if most := a.most.Load(); size > uint64(most) {
		a.gate.refuse(LongMessage)
		return nil, &MessageTooLongError{
			Bytes: size,
			Limit: most,
		}
	}
	bytes := int64(size)
	if held := a.gate.held.Add(bytes); held > a.gate.inbox && held != bytes {
		a.gate.held.Add(-bytes)
		a.gate.refuse(InboxFull)
		return nil, &InboxFullError{
			Bytes: size,
		}
	}
	if err := a.SetReadDeadline(time.Now().Add(messageTime)); err != nil {
		a.gate.held.Add(-bytes)
		return nil, err
	}
	return func() {
		a.gate.held.Add(-bytes)
		// The error of a closed connection shows with the next read.
		_ = a.SetReadDeadline(time.Time{})
	}, nil
}
