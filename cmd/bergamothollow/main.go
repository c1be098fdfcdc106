// Command bergamothollow runs instances that serve prompts, and has the commands to operate the fleet.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	registrar "bergamothollow.example/bergamothollow/internal/cmd"
	gateway "bergamothollow.example/bergamothollow/internal/cmd/gateway"
	starter "bergamothollow.example/bergamothollow/internal/cmd/serve"
	"bergamothollow.example/bergamothollow/internal/factory"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	f := factory.New(os.Stdin, os.Stdout, os.Stderr)
	commands := registrar.Commands(f)
	commands = append(commands, starter.NewCommand(f), gateway.NewCommand(f))
	return f.Execute(ctx, commands, os.Args[1:])
}
