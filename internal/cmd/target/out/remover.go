package remover

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"bergamothollow.example/bergamothollow/internal/factory"
	"bergamothollow.example/bergamothollow/internal/withdrawer"
)

const help = `bergamothollow target out <target> [--if-version N]

Take a target out of service. Within 3 seconds it stops receiving new work; running requests
finish. If another operator has changed the departures (the record of what is out of service) in
the meantime, the command exits with code 3 and names that change.

Example:
  bergamothollow target out engine-7
`

// Options are the arguments and flags of the command.
type Options struct {
	Factory   *factory.Factory
	Name      string
	IfVersion int64
}

// NewCommand returns the command.
func NewCommand(f *factory.Factory) subcommands.Command {
	o := Options{
		Factory: f,
	}
	return &factory.Command{
		Factory: f,
		Verb:    "out",
		Summary: "take a target out of service",
		Help:    help,
		Flags:   o.setFlags,
		Run: func(ctx context.Context, arguments []string) error {
			name, err := factory.OneArgument("a target", arguments)
			if err != nil {
				return err
			}
			o.Name = name
			return run(ctx, o)
		},
	}
}

func (o *Options) setFlags(flags *flag.FlagSet) {
	flags.Int64Var(&o.IfVersion, "if-version", withdrawer.AnyVersion, "change only if the departures are at version `N` (-1: the version just read)")
}

func run(ctx context.Context, o Options) error {
	return withdrawer.Run(ctx, o.Factory, withdrawer.Request{
		Subject:   withdrawer.Target(o.Name),
		TakeOut:   true,
		IfVersion: o.IfVersion,
	})
}
