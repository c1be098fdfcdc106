package adder

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"bergamothollow.example/bergamothollow/internal/changer"
	"bergamothollow.example/bergamothollow/internal/factory"
	"bergamothollow.example/bergamothollow/pkg/storer"
	"bergamothollow.example/bergamothollow/pkg/tracker"
	"bergamothollow.example/bergamothollow/pkg/versioner"
)

const help = `bergamothollow target add --file targets.yaml [--replace]

Add the target records of a YAML file (see examples/targets.yaml). A record that exists with
the same content is not changed. A record that exists with other content is a conflict (exit
code 3) unless --replace is given. With --replace it is replaced, unless another operator
changes it in the meantime.

Example:
  bergamothollow target add --file examples/targets.yaml
`

// Options are the arguments and flags of the command.
type Options struct {
	Factory *factory.Factory
	File    string
	Replace bool
}

// NewCommand returns the command.
func NewCommand(f *factory.Factory) subcommands.Command {
	o := Options{
		Factory: f,
	}
	return &factory.Command{
		Factory: f,
		Verb:    "add",
		Summary: "add target records from a file",
		Help:    help,
		Flags:   o.setFlags,
		Run: func(ctx context.Context, arguments []string) error {
			if err := factory.NoArguments(arguments); err != nil {
				return err
			}
			if err := factory.Required("file", o.File); err != nil {
				return err
			}
			return run(ctx, o)
		},
	}
}

func (o *Options) setFlags(flags *flag.FlagSet) {
	flags.StringVar(&o.File, "file", "", "`file` with target records")
	flags.BoolVar(&o.Replace, "replace", false, "replace records that exist with other content")
}

func run(ctx context.Context, o Options) error {
	targets, err := readTargets(o.File)
	if err != nil {
		return err
	}
	store, err := o.Factory.Store()
	if err != nil {
		return err
	}
	for i, target := range targets {
		if err := add(ctx, o, store, target); err != nil {
			o.Factory.Warnf("%d of %d targets were processed before the error\n", i, len(targets))
			return err
		}
	}
	return nil
}

func add(ctx context.Context, o Options, store storer.Store, target tracker.Target) error {
	current, err := factory.Read[tracker.Target](ctx, store, storer.KindTarget, string(target.ID))
	if err != nil {
		return err
	}
	if current.Version > 0 && current.Value == target {
		o.Factory.Printf("target %s: unchanged (version %d)\n", target.ID, current.Version)
		return nil
	}
	if current.Version > 0 && !o.Replace {
		return &changer.ConflictError{
			Kind: storer.KindTarget,
			Name: string(target.ID),
			Current: storer.Object{
				Version: versioner.Of(current.Version),
			},
			Changes: []string{fmt.Sprintf("it exists with other content: %+v", current.Value)},
			Next:    "correct the file, or add --replace",
		}
	}
	version, err := o.Factory.Changer(store).Apply(ctx, changer.Write{
		Kind:    storer.KindTarget,
		Name:    string(target.ID),
		Version: current.Version,
		Value:   target,
	})
	if err != nil {
		return err
	}
	o.Factory.Printf("target %s: written (version %d)\n", target.ID, version)
	return nil
}
