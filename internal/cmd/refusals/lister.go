package lister

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"time"

	"github.com/google/subcommands"

	"bergamothollow.example/bergamothollow/internal/factory"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/recorder"
	"bergamothollow.example/bergamothollow/pkg/refuser"
	"bergamothollow.example/bergamothollow/pkg/storer"
)

const help = `bergamothollow refusals [--customer C] [--since T] [--reason R] [--json]

List refusal records, oldest first. Records reach the store up to 2 seconds after the refusal.
--since takes a duration before now (30m) or a time (2026-01-31T15:00:00Z). Counts of records
that were dropped during a long outage of the platform are listed at the end.

Example:
  bergamothollow refusals --customer crew-shares --since 1h --reason queue_full
`

// Options are the arguments and flags of the command.
type Options struct {
	Factory  *factory.Factory
	Customer string
	Since    string
	Reason   string
	JSON     bool
}

// NewCommand returns the command.
func NewCommand(f *factory.Factory) subcommands.Command {
	o := Options{
		Factory: f,
	}
	return &factory.Command{
		Factory: f,
		Verb:    "refusals",
		Summary: "list refused requests",
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
	flags.StringVar(&o.Customer, "customer", "", "only refusals of this `customer`")
	flags.StringVar(&o.Since, "since", "", "only refusals after this `time` or within this duration")
	flags.StringVar(&o.Reason, "reason", "", "only refusals with this `reason` (see docs/operating.md)")
	flags.BoolVar(&o.JSON, "json", false, "print records as JSON")
}

// result is what --json prints.
type result struct {
	Records []refuser.Record `json:"records"`
}

func run(ctx context.Context, o Options) error {
	filter, err := o.filter()
	if err != nil {
		return err
	}
	store, err := o.Factory.Store()
	if err != nil {
		return err
	}
	batches, err := factory.List[recorder.Batch](ctx, store, storer.KindRefusal)
	if err != nil {
		return err
	}
	found := result{
		Records: []refuser.Record{},
	}
	for _, batch := range batches {
		found.Records = append(found.Records, filter.Select(batch.Value)...)
	}
	slices.SortStableFunc(found.Records, func(a, b refuser.Record) int {
		return a.At.Compare(b.At)
	})
	if o.JSON {
		return o.Factory.JSON(found)
	}
	return found.print(o.Factory)
}

func (o Options) filter() (recorder.Filter, error) {
	since, err := o.since()
	if err != nil {
		return recorder.Filter{}, err
	}
	reason := refuser.Reason(o.Reason)
	if o.Reason != "" && !slices.Contains(refuser.Reasons(), reason) {
		return recorder.Filter{}, &factory.UsageError{
			Problem: fmt.Sprintf("unknown reason %q: use one of %v", o.Reason, refuser.Reasons()),
		}
	}
	return recorder.Filter{
		Customer: namer.Customer(o.Customer),
		Since:    since,
		Reason:   reason,
	}, nil
}

func (o Options) since() (time.Time, error) {
	if o.Since == "" {
		return time.Time{}, nil
	}
	if ago, err := time.ParseDuration(o.Since); err == nil {
		return o.Factory.Clock.Now().Add(-ago), nil
	}
	at, err := time.Parse(time.RFC3339, o.Since)
	if err != nil {
		return time.Time{}, &factory.UsageError{
			Problem: fmt.Sprintf("--since %q is neither a duration (30m) nor a time (2026-01-31T15:00:00Z)", o.Since),
		}
	}
	return at, nil
}

func (r result) print(f *factory.Factory) error {
	rows := [][]any{{"TIME", "ID", "INSTANCE", "CUSTOMER", "SUBJECT", "REASON", "RAN", "RETRY AFTER", "MESSAGE"}}
	for _, record := range r.Records {
		rows = append(rows, []any{
			record.At.UTC().Format(time.RFC3339), record.ID, record.Instance, record.Customer,
			record.Subject, record.Reason, record.Ran, record.RetryAfter, record.Message,
		})
	}
	if err := f.Table(rows); err != nil {
		return err
	}
	for _, record := range r.Records {
		if record.Folded > 0 {
			f.Printf("%s stands for %d refusals of %s with reason %s that were counted and not kept one by one\n",
				record.ID, record.Folded, record.Customer, record.Reason)
		}
	}
	return nil
}
