package checker

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"bergamothollow.example/bergamothollow/internal/configurer"
	"bergamothollow.example/bergamothollow/internal/factory"
)

const help = `bergamothollow config check [--settings file] [--instance]
       bergamothollow config check --rules file [--against file|in-force] [--json]

Check a settings file and print the first error with its file, line and field. With --instance
the keys that only an instance needs must also be set.

With --rules, check rules of the users' platform (JSON) before they are sent: errors, entries that
can never match, limits that contradict each other and, with --against, what differs from those of
another file or from those in force. The settings file names the platform and the retry budget.
The exit status is 1 if there is an error or a contradiction.

Example:
  bergamothollow config check --settings instance.yaml --instance
  bergamothollow config check --rules next.json --against in-force
`

// Options are the arguments and flags of the command.
type Options struct {
	Factory  *factory.Factory
	Instance bool
	// Rules is a file with rules, and Against another one or InForce.
	Rules   string
	Against string
	JSON    bool
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
	flags.StringVar(&o.Rules, "rules", "", "check the rules in this `file` instead")
	flags.StringVar(&o.Against, "against", "", "compare the rules with those of a `file`, or with those in-force")
	flags.BoolVar(&o.JSON, "json", false, "print the findings and differences as JSON")
}

func run(ctx context.Context, o Options) error {
	if o.Rules != "" {
		return checkRules(ctx, o)
	}
	if o.Against != "" || o.JSON {
		return &factory.UsageError{
			Problem: "--against and --json need --rules: name a file with rules",
		}
	}
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
