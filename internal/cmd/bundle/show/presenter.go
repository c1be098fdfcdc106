package presenter

import (
	"context"
	"flag"

	"github.com/goccy/go-yaml"
	"github.com/google/subcommands"

	"bergamothollow.example/bergamothollow/internal/bundler"
	"bergamothollow.example/bergamothollow/internal/factory"
	"bergamothollow.example/bergamothollow/pkg/roller"
)

const help = `bergamothollow bundle show [--sequence N | --file F] [--json]

Print the bundle in force, the stored bundle with a sequence, or the bundle in a file, as YAML.
Comments above it name the digest, the author, the approver and whether the signature is valid.

Example:
  bergamothollow bundle show --sequence 12
`

// Options are the arguments and flags of the command.
type Options struct {
	Factory  *factory.Factory
	Sequence int64
	File     string
	JSON     bool
}

// NewCommand returns the command.
func NewCommand(f *factory.Factory) subcommands.Command {
	o := Options{
		Factory: f,
	}
	return &factory.Command{
		Factory: f,
		Verb:    "show",
		Summary: "print a bundle",
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
	flags.Int64Var(&o.Sequence, "sequence", 0, "`sequence` of a stored bundle (default: the one in force)")
	flags.StringVar(&o.File, "file", "", "signed bundle `file` written by bundle approve")
	flags.BoolVar(&o.JSON, "json", false, "print the bundle as JSON")
}

func run(ctx context.Context, o Options) error {
	settings, err := o.Factory.Settings()
	if err != nil {
		return err
	}
	signed, err := read(ctx, o)
	if err != nil {
		return err
	}
	bundle, err := bundler.DecodeContent(signed)
	if err != nil {
		return err
	}
	if o.JSON {
		return o.Factory.JSON(bundle)
	}
	validity := "valid"
	if _, err := roller.Verify(signed, settings.Approvers); err != nil {
		validity = "not valid with these settings: " + err.Error()
	}
	o.Factory.Printf("# digest %s\n# author %s, approver %s, signature %s\n", signed.Digest, signed.Author, signed.Approver, validity)
	content, err := yaml.Marshal(bundle)
	if err != nil {
		return err
	}
	return o.Factory.Write("", content)
}

func read(ctx context.Context, o Options) (roller.Signed, error) {
	if o.File != "" {
		return bundler.ReadSigned(o.File)
	}
	store, err := o.Factory.Store()
	if err != nil {
		return roller.Signed{}, err
	}
	return bundler.ReadStored(ctx, store, o.Sequence)
}
