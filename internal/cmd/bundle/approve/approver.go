package approver

import (
	"context"
	"encoding/json"
	"flag"

	"github.com/google/subcommands"

	"bergamothollow.example/bergamothollow/internal/bundler"
	"bergamothollow.example/bergamothollow/internal/factory"
	"bergamothollow.example/bergamothollow/internal/keyfile"
	"bergamothollow.example/bergamothollow/pkg/roller"
)

const help = `bergamothollow bundle approve --file next.yaml --key private.pem [--out next.json]

Sign a bundle file as the operator named in the settings, who must not be its author. The
operator's public key must be listed under approvers in the settings. The command does not
connect to the platform.

Example:
  bergamothollow bundle approve --file next.yaml --key ~/private.pem --out next.json
`

// Options are the arguments and flags of the command.
type Options struct {
	Factory *factory.Factory
	File    string
	Key     string
	Out     string
}

// NewCommand returns the command.
func NewCommand(f *factory.Factory) subcommands.Command {
	o := Options{
		Factory: f,
	}
	return &factory.Command{
		Factory: f,
		Verb:    "approve",
		Summary: "sign a bundle that another person wrote",
		Help:    help,
		Flags:   o.setFlags,
		Run: func(ctx context.Context, arguments []string) error {
			if err := factory.NoArguments(arguments); err != nil {
				return err
			}
			if err := factory.Required("file", o.File); err != nil {
				return err
			}
			if err := factory.Required("key", o.Key); err != nil {
				return err
			}
			return run(ctx, o)
		},
	}
}

func (o *Options) setFlags(flags *flag.FlagSet) {
	flags.StringVar(&o.File, "file", "", "bundle `file` to sign")
	flags.StringVar(&o.Key, "key", "", "private key `file` written by key create")
	flags.StringVar(&o.Out, "out", "", "signed bundle `file` to write (default: standard output)")
}

func run(_ context.Context, o Options) error {
	settings, err := o.Factory.Operator()
	if err != nil {
		return err
	}
	bundle, err := bundler.ReadFile(o.File)
	if err != nil {
		return err
	}
	key, err := keyfile.Read(o.Key)
	if err != nil {
		return err
	}
	signed, err := roller.Sign(bundle, settings.Operator, key)
	if err != nil {
		return err
	}
	// Instances verify the signature in the same way; here it detects a key that does not match the one in the settings.
	if _, err := roller.Verify(signed, settings.Approvers); err != nil {
		return err
	}
	content, err := json.MarshalIndent(signed, "", "  ")
	if err != nil {
		return err
	}
	o.Factory.Warnf("bundle %d by %s approved by %s, digest %s\n", signed.Sequence, signed.Author, signed.Approver, signed.Digest)
	return o.Factory.Write(o.Out, append(content, '\n'))
}
