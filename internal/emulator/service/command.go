package service

import (
	"context"
	"flag"
	"fmt"
	"io"

	"bergamothollow.example/bergamothollow/internal/emulator/runner"
	"bergamothollow.example/bergamothollow/pkg/timer"
)

// Run runs the emulator with command line arguments and returns its exit code.
func Run(ctx context.Context, arguments []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("emulator-service", flag.ContinueOnError)
	flags.SetOutput(stderr)
	listen := flags.String("listen", "127.0.0.1:7200", "address to listen on; port 0 chooses a free port")
	if err := flags.Parse(arguments); err != nil {
		return 2
	}
	if flags.NArg() > 0 {
		_, _ = fmt.Fprintf(stderr, "emulator-service: unexpected argument %q: every setting is a flag\n", flags.Arg(0))
		return 2
	}
	server, err := runner.Listen(*listen)
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "emulator-service: %v\n", err)
		return 1
	}
	New(timer.System{}).Register(server)
	if err := server.Serve(ctx, stdout); err != nil {
		_, _ = fmt.Fprintf(stderr, "emulator-service: %v\n", err)
		return 1
	}
	return 0
}
