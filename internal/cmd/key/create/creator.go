package creator

import (
	"context"
	"encoding/base64"
	"flag"

	"github.com/google/subcommands"

	"bergamothollow.example/bergamothollow/internal/factory"
	"bergamothollow.example/bergamothollow/internal/keyfile"
)

const help = `bergamothollow key create --out private.pem

Create an Ed25519 key pair. The private key is written to the file, readable by its owner only;
an existing file is not overwritten. The public key is printed; list it under approvers in the
settings of all instances and operators.

Example:
  bergamothollow key create --out ~/private.pem
`

// Options are the arguments and flags of the command.
type Options struct {
	Factory *factory.Factory
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
		Summary: "create a key pair for approvals",
		Help:    help,
		Flags:   o.setFlags,
		Run: func(ctx context.Context, arguments []string) error {
			if err := factory.NoArguments(arguments); err != nil {
				return err
			}
			if err := factory.Required("out", o.Out); err != nil {
				return err
			}
			return run(ctx, o)
		},
	}
}

func (o *Options) setFlags(flags *flag.FlagSet) {
	flags.StringVar(&o.Out, "out", "", "`file` for the private key")
}

func run(_ context.Context, o Options) error {
	public, err := keyfile.Create(o.Out)
	if err != nil {
		return err
	}
	o.Factory.Printf("%s\n", base64.StdEncoding.EncodeToString(public))
	return nil
}
