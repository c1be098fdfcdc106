package limiter

import (
	"errors"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"bergamothollow.example/bergamothollow/pkg/rationer"
	"bergamothollow.example/bergamothollow/pkg/timer"
)

const (
	// readingShare, bodyShare and connectionShare divide the memory of a process: what bodies that aren't complete, all bodies, and
	// connections may take. Together with the garbage of the first and the last they stay below a third.
	readingShare    = 12
	bodyShare       = 4
	connectionShare = 8
	// connectionBytes is about what a connection takes in buffers, stacks and state.
	connectionBytes = 32 << 10
	// descriptorNumerator and descriptorDenominator are the share of the descriptors for connections of callers; the rest is for
	// targets, the store, peers and files.
	descriptorNumerator   = 6
	descriptorDenominator = 10
	// minConnections is the least bound of connections.
	minConnections = 16
	// stallTime and graceTime are from when a body may be given up if memory runs out; callers have 3 s for a header.
	stallTime = time.Second
	graceTime = 5 * time.Second
	// youngTime is the age up to which a connection without a complete request isn't given up for a new one.
	youngTime = time.Second
	// acceptPause is the pause after a connection couldn't be accepted, for which a descriptor may be missing.
	acceptPause = 20 * time.Millisecond
)

// Reason is why a connection was closed or a request refused; it is a label value of the metric.
type Reason string

// The reasons.
const (
	IdleClosed     Reason = "idle_connection"
	SlowClosed     Reason = "slow_connection"
	ConnectionFull Reason = "too_many_connections"
	AcceptFailed   Reason = "accept_failed"
	HeadUnfinished Reason = "head_unfinished"
	HeadTooLong    Reason = "head_too_long"
	BodyTooLong    Reason = "body_too_long"
	BodySlow       Reason = "body_slow"
	BodyGivenUp    Reason = "body_given_up"
	MemoryFull     Reason = "memory_full"
	FramingTooLong Reason = "framing_too_long"
)

// Settings say what a process has.
type Settings struct {
	// MemoryBytes is how much memory the process may use, and Descriptors how many it may open.
	MemoryBytes int64
	Descriptors int
	Clock       timer.Clock
}

// Limiter bounds the connections of all listeners of a process, and the memory of requests that are read.
type Limiter struct {
	clock  timer.Clock
	most   int
	closed *prometheus.CounterVec
	// relieved is when memory was last given back to the system, in Unix nanoseconds.
	relieved atomic.Int64

	mu       sync.Mutex
	rationer *rationer.Rationer
	conns    map[*Conn]struct{}
}

// New returns a limiter without connections.
func New(s Settings) *Limiter {
	most := min(s.MemoryBytes/connectionShare/connectionBytes, int64(s.Descriptors)*descriptorNumerator/descriptorDenominator)
	return &Limiter{
		clock: s.Clock,
		most:  max(int(most), minConnections),
		closed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bergamothollow_limited_total",
			Help: "Connections that were closed and requests that were refused since they took too much of the process, by reason.",
		}, []string{"reason"}),
		rationer: rationer.New(rationer.Settings{
			Reading: s.MemoryBytes / readingShare,
			Total:   s.MemoryBytes / bodyShare,
			Stall:   stallTime,
			Grace:   graceTime,
		}),
		conns: map[*Conn]struct{}{},
	}
}

// Descriptors returns how many descriptors the process may open; a large number if the system doesn't tell.
func Descriptors() int {
	const most = 1 << 20
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return most
	}
	return int(min(limit.Cur, most))
}

// Memory returns how many bytes the process may use: the memory of the machine, or the limit of the runtime (GOMEMLIMIT) if that is less.
func Memory() int64 {
	limit := debug.SetMemoryLimit(-1)
	var info syscall.Sysinfo_t
	if syscall.Sysinfo(&info) != nil {
		return limit
	}
	return min(limit, int64(info.Totalram)*int64(info.Unit))
}

// Register adds the limiter's metrics to a registry.
func (l *Limiter) Register(registry *prometheus.Registry) {
	registry.MustRegister(l.closed, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "bergamothollow_limited_connections",
		Help: "Open connections of callers.",
	}, func() float64 {
		l.mu.Lock()
		defer l.mu.Unlock()
		return float64(len(l.conns))
	}), prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "bergamothollow_limited_body_bytes",
		Help: "Bytes of requests that are read or kept until they have been answered.",
	}, func() float64 {
		l.mu.Lock()
		defer l.mu.Unlock()
		return float64(l.rationer.Total())
	}))
}

// reliefPause is the least time between two collections of garbage that callers outside the limits have left.
const reliefPause = 5 * time.Second

// Count counts a connection that was closed, or a request that was refused. If that was for its memory, which is garbage soon, it is given
// back to the system: otherwise the next crowd comes on top of it.
func (l *Limiter) Count(why Reason) {
	l.closed.WithLabelValues(string(why)).Inc()
	if why == HeadUnfinished || why == AcceptFailed || why == IdleClosed {
		return
	}
	now, last := l.clock.Now().UnixNano(), l.relieved.Load()
	if time.Duration(now-last) >= reliefPause && l.relieved.CompareAndSwap(last, now) {
		go debug.FreeOSMemory()
	}
}

// CloseIdle closes all connections on which no request has begun.
func (l *Limiter) CloseIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.phase.Load() == idle {
			c.giveUp()
		}
	}
}

// Listen returns a listener whose connections are bounded.
func (l *Limiter) Listen(inner net.Listener) net.Listener {
	return &listener{
		Listener: inner,
		limiter:  l,
	}
}

type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept waits for the next connection. A lack of descriptors doesn't end the listener: the connection that has been idle for the longest
// time is closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		switch {
		case errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS) ||
			errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.ECONNABORTED):
			l.limiter.Count(AcceptFailed)
			l.limiter.mu.Lock()
			l.limiter.giveUpOne()
			l.limiter.mu.Unlock()
			<-l.limiter.clock.After(acceptPause)
		case err != nil:
			return nil, err
		default:
			if c := l.limiter.admit(conn); c != nil {
				return c, nil
			}
		}
	}
}

// admit adds a connection, for which another one may be given up; nil if there is no room for it.
func (l *Limiter) admit(conn net.Conn) *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.most && !l.giveUpOne() {
		l.Count(ConnectionFull)
		_ = conn.Close() // nobody is told: the caller sees the end of the connection
		return nil
	}
	c := &Conn{
		Conn:    conn,
		limiter: l,
	}
	c.since.Store(l.clock.Now().UnixNano())
	l.conns[c] = struct{}{}
	return c
}

// giveUpOne closes the connection that has been idle for the longest time, or else the one whose request is incomplete for the longest
// time; it reports false if there is none. l.mu must be held.
func (l *Limiter) giveUpOne() bool {
	var longest *Conn
	longestPhase := idle
	young := l.clock.Now().Add(-youngTime).UnixNano()
	for c := range l.conns {
		phase := c.phase.Load()
		if phase == answering || phase != idle && c.since.Load() > young {
			continue
		}
		first := longest == nil || phase == idle && longestPhase != idle
		if first || (phase == idle) == (longestPhase == idle) && c.since.Load() < longest.since.Load() {
			longest, longestPhase = c, phase
		}
	}
	if longest == nil {
		return false
	}
	if longestPhase == idle {
		l.Count(IdleClosed)
	} else {
		l.Count(SlowClosed)
	}
	longest.giveUp()
	return true
}
