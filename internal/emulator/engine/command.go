package engine

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"bergamothollow.example/bergamothollow/internal/emulator/engine/stepper"
	"bergamothollow.example/bergamothollow/internal/emulator/runner"
)

// crashExitCode is the exit code of an engine that ran out of memory or was ended by the die fault.
const crashExitCode = 3

// Run runs the emulator with command line arguments and returns its exit code.
func Run(ctx context.Context, arguments []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("emulator-engine", flag.ContinueOnError)
	flags.SetOutput(stderr)
	listen := flags.String("listen", "127.0.0.1:7100", "address to listen on; port 0 chooses a free port")
	model := flags.String("model", "default", "model that is loaded at the start")
	capacity := flags.Int("capacity", 450_000, "memory in tokens")
	rate := flags.Float64("prefill-rate", 60_000, "prefill tokens per second of a warm engine")
	cold := flags.Duration("cold", 20*time.Second, "how long the engine is cold after its start and after a cold fault")
	notice := flags.Duration("cold-notice", 3*time.Second, "how long after a cold fault the engine refuses requests that do not fit instead of crashing")
	fencing := flags.Bool("fencing", false, "refuse orders and requests with an old epoch")
	group := flags.Bool("group-context", false, "accept parts of a context that is split over several engines")
	loadLag := flags.Duration("load-lag", time.Second, "time between two load reports")
	eventLag := flags.Duration("event-lag", 2*time.Second, "delay before cache events are published")
	orderTime := flags.Duration("order-time", 5*time.Second, "how long a load or a change of role takes")
	speed := flags.Float64("speed", 1, "factor by which emulated time runs faster than real time")
	if err := flags.Parse(arguments); err != nil {
		return 2
	}
	if flags.NArg() > 0 {
		_, _ = fmt.Fprintf(stderr, "emulator-engine: unexpected argument %q: every setting is a flag\n", flags.Arg(0))
		return 2
	}
	if *speed <= 0 || *rate <= 0 || *capacity <= 0 {
		_, _ = fmt.Fprintln(stderr, "emulator-engine: --speed, --prefill-rate and --capacity must be above 0")
		return 2
	}
	server, err := runner.Listen(*listen)
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "emulator-engine: %v\n", err)
		return 1
	}
	e := New(Options{
		Stepper: stepper.Options{
			CapacityTokens: *capacity,
			PrefillRate:    *rate,
			Cold:           *cold,
			ColdNotice:     *notice,
			Fencing:        *fencing,
			LoadLag:        *loadLag,
			EventLag:       *eventLag,
		},
		Model:        *model,
		GroupContext: *group,
		OrderTime:    *orderTime,
		Speed:        *speed,
		Crash: func(err error) {
			_, _ = fmt.Fprintf(stderr, "emulator-engine: %v\n", err)
			os.Exit(crashExitCode)
		},
	})
	e.Register(server, server.SetSlowReads)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go e.Loop(ctx)
	if err := server.Serve(ctx, stdout); err != nil {
		_, _ = fmt.Fprintf(stderr, "emulator-engine: %v\n", err)
		return 1
	}
	return 0
}
