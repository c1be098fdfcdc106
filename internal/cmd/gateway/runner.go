package runner

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"math"
	mathrand "math/rand/v2"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sys/unix"

	"bergamothollow.example/bergamothollow/internal/configurer"
	"bergamothollow.example/bergamothollow/internal/coordinator"
	"bergamothollow.example/bergamothollow/internal/dropper"
	"bergamothollow.example/bergamothollow/internal/factory"
	"bergamothollow.example/bergamothollow/internal/limiter"
	"bergamothollow.example/bergamothollow/internal/messenger"
	"bergamothollow.example/bergamothollow/internal/receiver"
	"bergamothollow.example/bergamothollow/pkg/balancer"
	"bergamothollow.example/bergamothollow/pkg/cataloguer"
	"bergamothollow.example/bergamothollow/pkg/convener"
	"bergamothollow.example/bergamothollow/pkg/director"
	"bergamothollow.example/bergamothollow/pkg/isolator"
	"bergamothollow.example/bergamothollow/pkg/localizer"
	"bergamothollow.example/bergamothollow/pkg/scheduler"
	"bergamothollow.example/bergamothollow/pkg/sizer"
	"bergamothollow.example/bergamothollow/pkg/storer"
	"bergamothollow.example/bergamothollow/platform"
)

const help = `bergamothollow gateway

Run an instance on the users' platform until it is told to stop. Settings come from the file named by the
platform's environment variable, or else from --settings. On SIGTERM the instance is no longer listed to
callers, finishes its requests and exits with status 0 within the grace period. On SIGHUP it reads its
settings again and applies a changed grace period and memory limit.

Example:
  bergamothollow --settings instance.yaml gateway
`

const (
	// incarnationBytes is the length of the random part of the name that distinguishes two runs of an instance.
	incarnationBytes = 4
	// maxStoreRetryDelay caps the backoff between calls to an unavailable store. Together with targetReregistrationTime it
	// stays below the 3 s after an outage within which users expect the instance to follow the store's state again.
	maxStoreRetryDelay = 500 * time.Millisecond
	// targetReregistrationTime is how long after an outage of the store live targets may take to write their entries again.
	targetReregistrationTime = 2 * time.Second
	// evacuationRequestTime is how long operators may take to request an evacuation again after the store was restored from a copy that
	// lacks it.
	evacuationRequestTime = 10 * time.Second
	// exitMargin is reserved at the end of the grace period for the exit of the process.
	exitMargin = 400 * time.Millisecond
	// minLeaveTime is the shortest time that a leaving instance keeps serving: callers cache an address for up to three times its
	// validity.
	minLeaveTime = 3500 * time.Millisecond
	// closingTime is reserved before the end for the requests on connections that were accepted last.
	closingTime = 700 * time.Millisecond
	// logFlushTime is the delay before the exit in which the last log lines are written. The log isn't closed, since other
	// goroutines may still use it.
	logFlushTime = 50 * time.Millisecond
)

// Options are the dependencies of the command.
type Options struct {
	Factory *factory.Factory
}

// NewCommand returns the command.
func NewCommand(f *factory.Factory) subcommands.Command {
	o := &Options{
		Factory: f,
	}
	return &factory.Command{
		Factory: f,
		Verb:    "gateway",
		Summary: "run an instance on the users' platform",
		Help:    help,
		Run: func(ctx context.Context, arguments []string) error {
			if err := factory.NoArguments(arguments); err != nil {
				return err
			}
			return run(ctx, *o)
		},
	}
}

// instance holds the components of the running process.
type instance struct {
	options  Options
	file     string
	settings configurer.Settings
	logger   *log.Logger
	control  *coordinator.Coordinator
	receiver *receiver.Server
	status   *receiver.StatusServer
	output   *dropper.Dropper
	sizing   *coordinator.SizingMetrics
	duties   *coordinator.DutyMetrics
	limits   *limiter.Limiter
	// panics counts the requests and control steps that a panic has ended.
	panics atomic.Int64
}

// run serves until the context ends, and then drains the instance.
func run(stop context.Context, o Options) error {
	file := o.Factory.SettingsFile
	if named := os.Getenv(platform.SettingsVariable); named != "" {
		file = named
	}
	settings, err := configurer.LoadGateway(file)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	limitCollector(settings.Gateway)
	// The components must keep running after the stop signal, until the instance has drained.
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	i := &instance{
		options:  o,
		file:     file,
		settings: settings,
		sizing:   coordinator.NewSizingMetrics(),
		duties:   coordinator.NewDutyMetrics(),
	}
	if err := i.build(); err != nil {
		return err
	}
	failed := make(chan error, 2)
	go i.control.Run(ctx)
	go func() { failed <- i.receiver.Run() }()
	go func() { failed <- i.status.Run() }()
	i.logger.Info().Str("callers", settings.Listen.Callers).Str("file", file).Msg("gateway: started")
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	for {
		select {
		case err := <-failed:
			return err
		case <-reload:
			i.reload()
		case <-stop.Done():
			return i.leave()
		}
	}
}

// gcPercent keeps the heap small, since memory is charged for; the heap has a few megabytes.
const gcPercent = 50

// reload loads the settings again. Only a changed grace period or memory limit takes effect; the other settings do at the
// next start.
func (i *instance) reload() {
	settings, err := configurer.LoadGateway(i.file)
	if err != nil {
		i.logger.Error().Err(err).Msg("gateway: reloading the settings failed, keeping the previous ones")
		return
	}
	i.settings = settings
	limitCollector(settings.Gateway)
	i.logger.Info().Str("file", i.file).Msg("gateway: settings reloaded")
}

// limitCollector sets the soft memory limit of the garbage collector.
func limitCollector(g configurer.Gateway) {
	debug.SetMemoryLimit(receiver.CollectorLimit(int64(g.MemoryBytes), processMemory(g)))
}

// processMemory returns how many bytes the process may use.
func processMemory(g configurer.Gateway) int64 {
	return min(int64(g.ProcessMegabytes)<<20, machineMemory())
}

// leave drains the instance; it returns when all requests have ended, or exitMargin before the end of the grace period.
func (i *instance) leave() error {
	clock := i.options.Factory.Clock
	began := clock.Now()
	i.logger.Info().Int("active", i.receiver.Active()).Msg("gateway: leaving")
	latest := began.Add(i.settings.Gateway.GracePeriod - exitMargin)
	i.receiver.Leave(began, latest.Add(-closingTime))
	i.control.Leave()
	i.receiver.WaitDrained(began.Add(minLeaveTime), latest.Add(-closingTime))
	i.receiver.Close(latest)
	i.control.QuitDuties()
	i.logger.Info().Int("active", i.receiver.Active()).Dur("took", clock.Now().Sub(began)).
		Int64("lines_dropped", i.output.Dropped()).Msg("gateway: left")
	time.Sleep(logFlushTime)
	return nil
}

func (i *instance) build() error {
	incarnation := make([]byte, incarnationBytes)
	if _, err := rand.Read(incarnation); err != nil {
		return fmt.Errorf("generate an incarnation id: %w", err)
	}
	s := i.settings
	name := string(s.Instance) + "." + hex.EncodeToString(incarnation)
	i.output = dropper.New(i.options.Factory.Out, i.options.Factory.Clock)
	go i.output.Run()
	i.logger = &log.Logger{
		Level:   log.InfoLevel,
		Context: log.NewContext(nil).Str("instance", name).Value(),
		Writer: &log.IOWriter{
			Writer: i.output,
		},
	}
	platformStore, err := platform.NewStore(s.Platform.Address, s.Platform.Timeout, func(kind storer.Kind, cause error) {
		i.logger.Warn().Str("kind", string(kind)).Err(cause).Msg("gateway: skipped an unreadable store object")
	}, func(value string, newest int64) {
		i.logger.Error().Str("era", value).Int64("newest", newest).
			Msg("gateway: the store states an invalid or former era, counting its answers as of the newest: restart all instances if it was replaced")
	})
	if err != nil {
		return err
	}
	clock := i.options.Factory.Clock
	clientSettings := storer.DefaultClientSettings(s.Platform.CallsPerSecond)
	clientSettings.Retry.MaxDelay = maxStoreRetryDelay
	store := storer.NewClient(platformStore, clientSettings, clock,
		mathrand.New(mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64())))
	peers, err := net.Listen("tcp", s.Listen.Peers)
	if err != nil {
		return fmt.Errorf("listen for peers on %s (change listen.peers): %w", s.Listen.Peers, err)
	}
	duties, err := newDuties(s.Duties)
	if err != nil {
		return err
	}
	i.limits = limiter.New(limiter.Settings{
		MemoryBytes: processMemory(s.Gateway),
		Descriptors: limiter.Descriptors(),
		Clock:       clock,
	})
	gate := messenger.NewGate(messenger.GateSettings{
		MemoryBytes: processMemory(s.Gateway),
		Descriptors: limiter.Descriptors(),
		Join:        true,
		Clock:       clock,
		OnRefuse:    func(reason string) { i.limits.Count(limiter.Reason(reason)) },
	})
	schedulerSettings := scheduler.DefaultSettings()
	schedulerSettings.Preference = name
	schedulerSettings.Localizer = localizer.DefaultSettings()
	schedulerSettings.Localizer.PerRequest = s.Gateway.Crossing.Wait
	schedulerSettings.Localizer.PerMegabyte = s.Gateway.Crossing.WaitPerMegabyte
	i.control = coordinator.New(coordinator.Options{
		PeerListener: gate.Listen(peers),
		Seeds:        s.Seeds,
		Traffic:      &messenger.ByteCounters{},
		Self: coordinator.Member{
			Name:       name,
			Instance:   s.Instance,
			Callers:    s.Listen.Callers,
			Peers:      s.Listen.Peers,
			DataCentre: s.DataCentre,
			Strong:     s.Gateway.ProcessorShare >= leaderShare,
			Cores:      s.Gateway.ProcessorShare,
		},
		Store:     store,
		Format:    platform.Format(),
		Clock:     clock,
		Log:       i.logger,
		WatchWait: s.Gateway.WatchWait,
		Catalogue: cataloguer.Settings{
			ReregistrationTime: targetReregistrationTime,
			EvacuationTime:     evacuationRequestTime,
		},
		Scheduler:     schedulerSettings,
		Balancer:      balancerSettings(s.Gateway),
		Convener:      convener.DefaultSettings(),
		Director:      director.DefaultSettings(),
		Isolator:      isolator.DefaultSettings(),
		ProcessorTime: processorTime,
		OnPanic:       i.countPanic,
		Duties:        duties,
		Sizer:         sizerSettings(s.Gateway),
		Sizing:        i.sizing,
		DutyMetrics:   i.duties,
	})
	return i.listen()
}

// localDistanceCost replaces the balancer's cost of a target elsewhere where callers use the instances of their data centre: all its calls
// meet at the targets there, and an instance sees only its own part of them.
const localDistanceCost = 0.2

func balancerSettings(g configurer.Gateway) balancer.Settings {
	settings := balancer.DefaultSettings()
	if g.Crossing != (configurer.Crossing{}) {
		settings.DistanceCost = localDistanceCost
	}
	return settings
}

// dutyTimeout bounds one call for a duty.
const dutyTimeout = time.Second

// newDuties returns the duties that the platform asks for, nil if there are none.
func newDuties(s configurer.Duties) (*coordinator.DutyOptions, error) {
	usage, engines := slices.Contains(s.Asked, platform.DutyUsage), slices.Contains(s.Asked, platform.DutyScaling)
	if s.Address == "" || !usage && !engines {
		return nil, nil
	}
	calls, err := platform.NewDuties(s.Address, dutyTimeout)
	if err != nil {
		return nil, err
	}
	return &coordinator.DutyOptions{
		Calls:          calls,
		Usage:          usage,
		Engines:        engines,
		CallsPerSecond: s.CallsPerSecond,
		Lease:          s.Lease,
		Elapsed:        elapsed,
		Window:         s.ReportWindow,
		Delay:          s.ReportDelay,
	}, nil
}

// elapsed reads the clock that counts from the start of the machine, with the time for which it was suspended.
func elapsed() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has had this clock since 2.6.39; without it no lease can be kept safely.
		panic(fmt.Sprintf("read the boot-time clock: %v", err))
	}
	return time.Duration(t.Nano())
}

func (i *instance) countPanic() {
	i.panics.Add(1)
}

// processorTime returns the processor time that the process has used; 0 if the system doesn't tell.
func processorTime() time.Duration {
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// machineMemory returns the memory of the machine in bytes; it has no bound if the system doesn't tell.
func machineMemory() int64 {
	var info syscall.Sysinfo_t
	if syscall.Sysinfo(&info) != nil {
		return math.MaxInt64
	}
	return int64(info.Totalram) * int64(info.Unit)
}

// listen opens the listeners and creates the servers on them.
func (i *instance) listen() error {
	s := i.settings
	listeners := map[string]net.Listener{}
	for _, address := range []string{s.Listen.Callers, s.Gateway.Readiness, s.Gateway.Directory, s.Gateway.Metrics} {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return fmt.Errorf("listen on %s (change the settings or free the port): %w", address, err)
		}
		listeners[address] = listener
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "bergamothollow_log_lines_dropped_total",
		Help: "Lines that were not logged, since the output did not keep up or a second had too many.",
	}, func() float64 { return float64(i.output.Dropped()) }))
	registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "bergamothollow_gateway_panics_total",
		Help: "Requests and control steps that an unexpected error in the program has ended.",
	}, func() float64 { return float64(i.panics.Load()) }))
	for name, count := range map[string]func(coordinator.ReturnCounts) int{
		"planned": func(r coordinator.ReturnCounts) int { return r.Planned },
		"come":    func(r coordinator.ReturnCounts) int { return r.Come },
		"held":    func(r coordinator.ReturnCounts) int { return r.Waited },
	} {
		registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name:        "bergamothollow_gateway_returns_total",
			Help:        "Returning requests: refusals with a planned delay, those that came back after a start, and those of them that were held.",
			ConstLabels: prometheus.Labels{"state": name},
		}, func() float64 { return float64(count(i.control.Returns())) }))
	}
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "bergamothollow_gateway_store_era",
		Help: "Newest era that the store has stated, which rises when it is restored from a copy; -1 if it states none.",
	}, func() float64 { return float64(i.control.View().StoreEra) }))
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "bergamothollow_gateway_rules_retained",
		Help: "1 while the rules in force are newer than those of the store, else 0.",
	}, func() float64 {
		if i.control.View().RulesRetained {
			return 1
		}
		return 0
	}))
	i.sizing.Register(registry)
	i.duties.Register(registry)
	g := s.Gateway
	i.limits.Register(registry)
	answerMemory := receiver.NewAnswerMemory(processMemory(g))
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "bergamothollow_gateway_answer_memory_free_bytes",
		Help: "Bytes that answers which are read, or which callers read slowly, may still take.",
	}, func() float64 { return float64(answerMemory.Free()) }))
	i.receiver = receiver.New(receiver.Options{
		Listener:   listeners[s.Listen.Callers],
		Control:    i.control,
		DataCentre: s.DataCentre,
		Names:      platform.Headers(),
		Orders:     platform.Orders(),
		Notices:    platform.DecodeNotice,
		Spread:     mathrand.Float64(),
		Budget: receiver.NewBudget(receiver.BudgetSettings{
			Ratio:  g.RetryRatio,
			Window: g.RetryWindow,
			Extra:  g.RetryExtra,
		}),
		Limiter:      i.limits,
		AnswerMemory: answerMemory,
		Clock:        i.options.Factory.Clock,
		Log:          i.logger,
		Metrics:      receiver.NewMetrics(registry),
		OnPanic:      i.countPanic,
	})
	i.status = receiver.NewStatusServer(receiver.StatusOptions{
		Readiness:           listeners[g.Readiness],
		ReadyPath:           platform.ReadyPath,
		Directory:           listeners[g.Directory],
		ResolvePath:         platform.ResolvePath,
		DataCentreParameter: platform.ResolveDataCentreParameter,
		KeepLocal:           g.Crossing != (configurer.Crossing{}),
		Metrics:             listeners[g.Metrics],
		Registry:            registry,
		Control:             i.control,
		Limiter:             i.limits,
		ResolveBody: func(addresses []string) any {
			return platform.Addresses{
				Addresses:       addresses,
				ValiditySeconds: g.AddressValidity.Seconds(),
			}
		},
	})
	return nil
}

// leaderShare is the processor share, in cores, from which an instance is preferred as leader; leading 85 instances takes 0.16.
const leaderShare = 0.3

// sizerSettings returns the settings for the number of engines.
func sizerSettings(g configurer.Gateway) sizer.Settings {
	s := sizer.DefaultSettings()
	s.IdleEngines = g.IdleEngines
	s.Losses = g.LostDataCentres
	return s
}
