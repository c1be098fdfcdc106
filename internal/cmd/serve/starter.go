package starter

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"math/big"
	mathrand "math/rand/v2"
	"net"
	"os"
	"time"

	"github.com/google/subcommands"
	"github.com/panjf2000/ants/v2"
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"bergamothollow.example/bergamothollow/internal/caller"
	"bergamothollow.example/bergamothollow/internal/configurer"
	"bergamothollow.example/bergamothollow/internal/controller"
	"bergamothollow.example/bergamothollow/internal/factory"
	"bergamothollow.example/bergamothollow/internal/limiter"
	"bergamothollow.example/bergamothollow/internal/messenger"
	"bergamothollow.example/bergamothollow/internal/server"
	"bergamothollow.example/bergamothollow/internal/streamer"
	"bergamothollow.example/bergamothollow/pkg/holder"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/refuser"
	"bergamothollow.example/bergamothollow/pkg/storer"
)

const help = `bergamothollow serve

Run an instance until it receives SIGTERM or SIGINT. Then it leaves: it is removed from address
responses, accepts requests until the responses that callers have cached expire, finishes its
requests, hands its targets over, writes its refusal records and exits with status 0.

Example:
  bergamothollow --settings pier-1.yaml serve
`

const (
	incarnationBytes = 4
	// engineConnections is the largest number of connections to one engine.
	engineConnections = 1024
	// shutdownTimeout bounds the wait for responses that are still being written when the instance exits.
	shutdownTimeout = 5 * time.Second
)

// Options are the arguments and flags of the command.
type Options struct {
	Factory  *factory.Factory
	LogLevel string
}

// NewCommand returns the command.
func NewCommand(f *factory.Factory) subcommands.Command {
	o := &Options{
		Factory:  f,
		LogLevel: "info",
	}
	return &factory.Command{
		Factory: f,
		Verb:    "serve",
		Summary: "run an instance",
		Help:    help,
		Run: func(ctx context.Context, arguments []string) error {
			if err := factory.NoArguments(arguments); err != nil {
				return err
			}
			return run(ctx, *o)
		},
	}
}

// instance holds the components of one running instance.
type instance struct {
	settings     configurer.Settings
	self         namer.Holder
	logger       *log.Logger
	control      *controller.Controller
	server       *server.Server
	caller       *caller.Caller
	peers        net.Listener
	byteCounters *messenger.ByteCounters
	limits       *limiter.Limiter
}

// run serves until the context stop is cancelled, and then leaves.
func run(stop context.Context, o Options) error {
	settings, err := configurer.LoadInstance(o.Factory.SettingsFile)
	if err != nil {
		return err
	}
	// The instance keeps serving after the stop signal until it has left.
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	i, err := build(ctx, o.Factory, settings)
	if err != nil {
		return err
	}
	gate := messenger.NewGate(messenger.GateSettings{
		MemoryBytes: limiter.Memory(),
		Descriptors: limiter.Descriptors(),
		Clock:       o.Factory.Clock,
		OnRefuse:    func(reason string) { i.limits.Count(limiter.Reason(reason)) },
	})
	failed := make(chan error, 2)
	go i.control.Run()
	go func() {
		failed <- messenger.Serve(ctx, gate.Listen(i.peers), controller.PeerHandler{
			Controller: i.control,
		}, i.byteCounters)
	}()
	go func() { failed <- i.server.Run(ctx) }()
	i.logger.Info().Str("callers", settings.Listen.Callers).Str("peers", settings.Listen.Peers).Msg("serve: listening")
	select {
	case err := <-failed:
		return err
	case <-stop.Done():
	}
	return i.leave()
}

// leave stops the instance without aborting requests. It also waits until the outcomes of all calls are stored, unless
// the store is unreachable.
func (i *instance) leave() error {
	i.control.Leave()
	<-i.control.Done()
	for i.caller.Pending() > 0 && i.control.StoreReachable() {
		time.Sleep(100 * time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := i.server.Shutdown(ctx); err != nil {
		i.logger.Warn().Err(err).Msg("serve: server shutdown failed")
	}
	i.logger.Info().Msg("serve: left")
	return nil
}

// build creates an instance that listens but does not serve yet.
func build(ctx context.Context, f *factory.Factory, settings configurer.Settings) (*instance, error) {
	incarnation := make([]byte, incarnationBytes)
	if _, err := rand.Read(incarnation); err != nil {
		return nil, fmt.Errorf("generate the incarnation: %w", err)
	}
	i := &instance{
		settings: settings,
		self: namer.Holder{
			Instance:    settings.Instance,
			Incarnation: namer.Incarnation(hex.EncodeToString(incarnation)),
		},
		byteCounters: &messenger.ByteCounters{},
	}
	i.logger = newLogger(f, i.self)
	listeners, err := listen(settings.Listen)
	if err != nil {
		return nil, err
	}
	i.peers = listeners.peers
	return i, i.connect(ctx, f, listeners.callers)
}

func newLogger(f *factory.Factory, self namer.Holder) *log.Logger {
	return &log.Logger{
		Level:   log.InfoLevel,
		Context: log.NewContext(nil).Str("instance", self.String()).Value(),
		Writer: &log.IOWriter{
			Writer: f.Err,
		},
	}
}

type listeners struct {
	callers net.Listener
	peers   net.Listener
}

func listen(a configurer.Addresses) (listeners, error) {
	callers, err := net.Listen("tcp", a.Callers)
	if err != nil {
		return listeners{}, fmt.Errorf("listen for callers on %s (change listen.callers): %w", a.Callers, err)
	}
	peers, err := net.Listen("tcp", a.Peers)
	if err != nil {
		return listeners{}, fmt.Errorf("listen for peers on %s (change listen.peers): %w", a.Peers, err)
	}
	return listeners{
		callers: callers,
		peers:   peers,
	}, nil
}

// connect creates the components of the instance and connects them.
func (i *instance) connect(ctx context.Context, f *factory.Factory, callers net.Listener) error {
	rawStore, err := f.OpenStore(i.settings)
	if err != nil {
		return err
	}
	store := storer.NewClient(rawStore, storer.DefaultClientSettings(i.settings.Platform.CallsPerSecond), f.Clock, newRandom())
	engines, err := streamer.New(engineConnections)
	if err != nil {
		return err
	}
	pool, err := ants.NewPool(i.settings.Bounds.TrafficWorkers, ants.WithNonblocking(true))
	if err != nil {
		return err
	}
	registry := prometheus.NewRegistry()
	i.control, err = controller.New(ctx, controller.Options{
		Settings: i.settings,
		Self:     i.self,
		Store:    store,
		Peers:    messenger.NewClient(i.byteCounters),
		Engines:  engines,
		Clock:    f.Clock,
		Random:   newRandom(),
		Log:      i.logger,
		Metrics:  controller.NewMetrics(registry, store, i.byteCounters),
	})
	if err != nil {
		return err
	}
	metrics := server.NewMetrics(registry)
	i.caller, err = caller.New(ctx, caller.Options{
		Self:    i.self,
		Control: i.control,
		Store:   store,
		Clock:   f.Clock,
		OnRetry: func(r refuser.RetryReason) {
			metrics.Retries.WithLabelValues(string(r)).Inc()
		},
	})
	if err != nil {
		return err
	}
	i.limits = limiter.New(limiter.Settings{
		MemoryBytes: limiter.Memory(),
		Descriptors: limiter.Descriptors(),
		Clock:       f.Clock,
	})
	i.limits.Register(registry)
	i.server = server.New(server.Options{
		Listener:       callers,
		Limiter:        i.limits,
		Control:        i.control,
		Engines:        engines,
		Calls:          i.caller,
		Pool:           pool,
		Clock:          f.Clock,
		Log:            i.logger,
		Metrics:        metrics,
		NewID:          newRequestID,
		MaxBodyBytes:   i.settings.Bounds.BodyBytes,
		MaxHeaderBytes: i.settings.Bounds.HeaderBytes,
		BufferBounds: holder.Bounds{
			Request:     i.settings.Bounds.HeldBytesPerRequest,
			Customer:    i.settings.Bounds.HeldBytesPerCustomer,
			Process:     i.settings.Bounds.HeldBytesPerProcess,
			ReadTimeout: i.settings.Times.ReaderStall,
		},
	})
	return nil
}

func newRandom() *mathrand.Rand {
	return mathrand.New(mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64()))
}

func newRequestID() namer.Request {
	const space = 1 << 62
	n, err := rand.Int(rand.Reader, big.NewInt(space))
	if err != nil {
		// Without a random source the ids would not be unique.
		_, _ = fmt.Fprintln(os.Stderr, "serve: cannot read the system's random source:", err)
		os.Exit(1)
	}
	return namer.Request(fmt.Sprintf("req-%016x", n))
}
