package comparer

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"bergamothollow.example/bergamothollow/internal/bundler"
	"bergamothollow.example/bergamothollow/internal/factory"
	"bergamothollow.example/bergamothollow/pkg/roller"
	"bergamothollow.example/bergamothollow/pkg/storer"
)

const help = `bergamothollow bundle diff [--from N] [--to N | --file F] [--json]

List the paths in which two bundles differ. The old and the new bundle default to the bundle in
force. A file may be a bundle file (YAML) or a signed bundle (.json).

Example:
  bergamothollow bundle diff --file next.yaml
`

// Options are the arguments and flags of the command.
type Options struct {
	Factory *factory.Factory
	From    int64
	To      int64
	File    string
	JSON    bool
}

// NewCommand returns the command.
func NewCommand(f *factory.Factory) subcommands.Command {
	o := Options{
		Factory: f,
	}
	return &factory.Command{
		Factory: f,
		Verb:    "diff",
		Summary: "compare two bundles",
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
	flags.Int64Var(&o.From, "from", 0, "`sequence` of the old bundle (default: the one in force)")
	flags.Int64Var(&o.To, "to", 0, "`sequence` of the new bundle (default: the one in force)")
	flags.StringVar(&o.File, "file", "", "`file` of the new bundle")
	flags.BoolVar(&o.JSON, "json", false, "print the differences as JSON")
}

func run(ctx context.Context, o Options) error {
	store, err := o.Factory.Store()
	if err != nil {
		return err
	}
	before, err := bundler.ReadStoredContent(ctx, store, o.From)
	if err != nil {
		return err
	}
	after, err := readNew(ctx, store, o)
	if err != nil {
		return err
	}
	changes := roller.Diff(before, after)
	if o.JSON {
		return o.Factory.JSON(changes)
	}
	rows := [][]any{{"PATH", "OLD", "NEW"}}
	for _, change := range changes {
		rows = append(rows, []any{change.Path, change.Old, change.New})
	}
	return o.Factory.Table(rows)
}

// readNew returns the new bundle of the comparison, from the file or from the store.
func readNew(ctx context.Context, store storer.Store, o Options) (roller.Bundle, error) {
	if o.File != "" {
		return bundler.ReadFile(o.File)
	}
	return bundler.ReadStoredContent(ctx, store, o.To)
}
