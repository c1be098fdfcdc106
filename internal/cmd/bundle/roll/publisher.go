package publisher

import (
	"context"
	"flag"
	"time"

	"github.com/google/subcommands"

	"bergamothollow.example/bergamothollow/internal/bundler"
	"bergamothollow.example/bergamothollow/internal/factory"
	"bergamothollow.example/bergamothollow/pkg/roller"
	"bergamothollow.example/bergamothollow/pkg/storer"
)

const help = `bergamothollow bundle roll --file next.json [--if-version N] [--wait 9s] [--json]

Store an approved bundle and move the bundle pointer to it, unless another operator has moved
the pointer in the meantime. In that case the command exits with code 3 and names the sequence,
the author and the differences of the other bundle. With --wait it also reports which members
have confirmed the sequence in their records; the bundle is in force whether or not all of them
have.

Example:
  bergamothollow bundle roll --file next.json --wait 9s
`

// Options are the arguments and flags of the command.
type Options struct {
	Factory   *factory.Factory
	File      string
	IfVersion int64
	Wait      time.Duration
	JSON      bool
}

// NewCommand returns the command.
func NewCommand(f *factory.Factory) subcommands.Command {
	o := Options{
		Factory: f,
	}
	return &factory.Command{
		Factory: f,
		Verb:    "roll",
		Summary: "put an approved bundle in force everywhere",
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
	flags.StringVar(&o.File, "file", "", "signed bundle `file` written by bundle approve")
	flags.Int64Var(&o.IfVersion, "if-version", bundler.AnyVersion, "roll only if the pointer is at version `N` (-1: the version just read)")
	flags.DurationVar(&o.Wait, "wait", 0, "`time` to wait for members to confirm (0: do not wait)")
	flags.BoolVar(&o.JSON, "json", false, "print the outcome as JSON")
}

// outcome is the output of --json.
type outcome struct {
	Sequence int64                  `json:"sequence"`
	Version  int64                  `json:"version"`
	Members  []bundler.Confirmation `json:"members,omitempty"`
}

func run(ctx context.Context, o Options) error {
	settings, err := o.Factory.Operator()
	if err != nil {
		return err
	}
	signed, err := bundler.ReadSigned(o.File)
	if err != nil {
		return err
	}
	if _, err := roller.Verify(signed, settings.Approvers); err != nil {
		return err
	}
	store, err := o.Factory.OpenStore(settings)
	if err != nil {
		return err
	}
	version, err := bundler.Roll{
		Store:     store,
		Changer:   o.Factory.Changer(store),
		Signed:    signed,
		Operator:  settings.Operator,
		IfVersion: o.IfVersion,
	}.Run(ctx)
	if err != nil {
		return err
	}
	return report(o, outcome{
		Sequence: signed.Sequence,
		Version:  version,
		Members:  confirmations(ctx, o, store, signed.Sequence),
	})
}

// confirmations waits for the members to confirm. A failure is only a warning, since the bundle is already in force.
func confirmations(ctx context.Context, o Options, store storer.Store, sequence int64) []bundler.Confirmation {
	if o.Wait <= 0 {
		return nil
	}
	members, err := bundler.AwaitConfirmations(ctx, store, o.Factory.Clock, sequence, o.Wait)
	if err != nil {
		o.Factory.Warnf("bundle %d is in force, but the members' records cannot be read: %v: check with `bergamothollow status`\n", sequence, err)
	}
	return members
}

func report(o Options, result outcome) error {
	if o.JSON {
		return o.Factory.JSON(result)
	}
	o.Factory.Printf("bundle %d is in force (pointer at version %d)\n", result.Sequence, result.Version)
	if len(result.Members) == 0 {
		return nil
	}
	rows := [][]any{{"INSTANCE", "DATA CENTRE", "STATE", "BUNDLE", "CONFIRMED", "RENEWED"}}
	unconfirmed := 0
	for _, member := range result.Members {
		rows = append(rows, []any{member.Instance, member.DataCentre, member.State, member.BundleSequence, member.Confirmed, member.Renewed})
		if !member.Confirmed {
			unconfirmed++
		}
	}
	if unconfirmed > 0 {
		o.Factory.Warnf("%d of %d members have not confirmed: check with `bergamothollow status`, a member that does not renew its record may have stopped\n",
			unconfirmed, len(result.Members))
	}
	return o.Factory.Table(rows)
}
