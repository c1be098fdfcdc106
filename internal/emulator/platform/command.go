package platform

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"bergamothollow.example/bergamothollow/internal/emulator/runner"
	"bergamothollow.example/bergamothollow/pkg/timer"
)

// Run runs the emulator with command line arguments and returns its exit code.
func Run(ctx context.Context, arguments []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("emulator-platform", flag.ContinueOnError)
	flags.SetOutput(stderr)
	listen := flags.String("listen", "127.0.0.1:7000", "address to listen on; port 0 chooses a free port")
	writes := flags.Int("writes", 300, "writes allowed per second")
	reads := flags.Int("reads", 2000, "reads allowed per second; a watch counts as one")
	lag := flags.Duration("instances-lag", 5*time.Second, "delay before a change appears in the list of instances")
	if err := flags.Parse(arguments); err != nil {
		return 2
	}
	if flags.NArg() > 0 {
		_, _ = fmt.Fprintf(stderr, "emulator-platform: unexpected argument %q: every setting is a flag\n", flags.Arg(0))
		return 2
	}
	server, err := runner.Listen(*listen)
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "emulator-platform: %v\n", err)
		return 1
	}
	New(Options{
		WritesPerSecond: *writes,
		ReadsPerSecond:  *reads,
		InstancesLag:    *lag,
		Clock:           timer.System{},
	}).Register(server)
	if err := server.Serve(ctx, stdout); err != nil {
		_, _ = fmt.Fprintf(stderr, "emulator-platform: %v\n", err)
		return 1
	}
	return 0
}
