package creator

import (
	"context"
	"errors"
	"flag"

	"github.com/goccy/go-yaml"
	"github.com/google/subcommands"

	"bergamothollow.example/bergamothollow/internal/bundler"
	"bergamothollow.example/bergamothollow/internal/factory"
	"bergamothollow.example/bergamothollow/pkg/roller"
	"bergamothollow.example/bergamothollow/pkg/storer"
)

const help = `bergamothollow bundle create [--file draft.yaml] [--out next.yaml]

Create a bundle file with the next free sequence and the operator named in the settings as
author. Its content is that of the draft, or of the bundle in force. The differences from the
bundle in force are printed to the error stream. Edit the file if needed; then another person
has to approve it.

Example:
  bergamothollow bundle create --file draft.yaml --out next.yaml
`

// Options are the arguments and flags of the command.
type Options struct {
	Factory *factory.Factory
	File    string
	Out     string
}

// NewCommand returns the command.
func NewCommand(f *factory.Factory) subcommands.Command {
	o := Options{
		Factory: f,
	}
	return &factory.Command{
		Factory: f,
		Verb:    "create",
		Summary: "create a bundle file with the next sequence",
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
	flags.StringVar(&o.File, "file", "", "draft `file` (default: the bundle in force)")
	flags.StringVar(&o.Out, "out", "", "`file` to write (default: standard output)")
}

func run(ctx context.Context, o Options) error {
	settings, err := o.Factory.Operator()
	if err != nil {
		return err
	}
	store, err := o.Factory.OpenStore(settings)
	if err != nil {
		return err
	}
	bundle, err := readDraft(ctx, store, o.File)
	if err != nil {
		return err
	}
	bundle.Sequence, err = bundler.NextSequence(ctx, store)
	if err != nil {
		return err
	}
	bundle.Author = settings.Operator
	if err := bundle.Validate(); err != nil {
		return err
	}
	if err := printDifferences(ctx, o.Factory, store, bundle); err != nil {
		return err
	}
	content, err := yaml.Marshal(bundle)
	if err != nil {
		return err
	}
	return o.Factory.Write(o.Out, content)
}

func readDraft(ctx context.Context, store storer.Store, file string) (roller.Bundle, error) {
	if file == "" {
		return bundler.ReadStoredContent(ctx, store, 0)
	}
	return bundler.ReadFile(file)
}

// printDifferences prints the differences from the bundle in force, if there is one.
func printDifferences(ctx context.Context, f *factory.Factory, store storer.Store, bundle roller.Bundle) error {
	current, err := bundler.ReadStoredContent(ctx, store, 0)
	var missing *bundler.MissingError
	if errors.As(err, &missing) {
		return nil
	}
	if err != nil {
		return err
	}
	for _, change := range roller.Diff(current, bundle) {
		f.Warnf("%s: %q to %q\n", change.Path, change.Old, change.New)
	}
	return nil
}
