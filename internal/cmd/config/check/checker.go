package checker

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"bergamothollow.example/bergamothollow/internal/configurer"
	"bergamothollow.example/bergamothollow/internal/factory"
)

const help = `bergamothollow config check [--settings file] [--instance]

Check a settings file and print the first error with its file, line and field. With --instance
the keys that only an instance needs must also be set.

Example:
  bergamothollow config check --settings instance.yaml --instance
`

// Options are the arguments and flags of the command.
type Options struct {
	Factory  *factory.Factory
	Instance bool
}

// NewCommand returns the command.
func NewCommand(f *factory.Factory) subcommands.Command {
	o := Options{
		Factory: f,
	}
	return &factory.Command{
		Factory: f,
		Verb:    "check",
		Summary: "check a settings file",
		Help:    help,
		Flags:   o.setFlags,
		Run: func(ctx context.Context, arguments []string) error {
			if err := factory.NoArguments(arguments); err != nil {
				return err
			}
			return run(ctx, o)
		},
	}
}

func (o *Options) setFlags(flags *flag.FlagSet) {
	flags.BoolVar(&o.Instance, "instance", false, "require the keys of an instance")
}

func run(_ context.Context, o Options) error {
	load := configurer.Load
	if o.Instance {
		load = configurer.LoadInstance
	}
	if _, err := load(o.Factory.SettingsFile); err != nil {
		return err
	}
	o.Factory.Printf("%s: valid\n", o.Factory.SettingsFile)
	return nil
}
